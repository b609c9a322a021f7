// Package chivehillexplain reports from the log of a host what happened to a request.
package chivehillexplain

import (
	"bufio"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"strings"

	"github.com/chivehill/chivehill/internal/chivehillid"
	"github.com/chivehill/chivehill/internal/chivehillreason"
)

// maxLineBytes is the maximum length of a log line.
const maxLineBytes = 1 << 20

// ErrNotFound means that the log has no line about the request.
var ErrNotFound = errors.New("no log line found; requests answered at the first attempt are logged only at level debug")

// logLine holds the fields that are read from a log line.
type logLine struct {
	Request string                  `json:"request"`
	Server  string                  `json:"server"`
	Message string                  `json:"message"`
	Reason  chivehillreason.Reason  `json:"reason"`
	Outcome chivehillreason.Outcome `json:"outcome"`
	Status  int                     `json:"status"`
	text    string
}

// Report contains what the log says about a request.
type Report struct {
	// Steps holds the lines about the request, in order.
	Steps []string
	// Context holds the lines about the servers of the request that name no request,
	// in order.
	Context []string
	// Conclusion is a short summary of how the request ended.
	Conclusion string
}

// Explain reads a log line by line and reports on a request. Lines may have text
// before the JSON object. Lines without a JSON object are skipped.
func Explain(log io.Reader, id chivehillid.RequestID) (Report, error) {
	var report Report
	var serverLines []logLine
	servers := make(map[string]bool)
	scanner := bufio.NewScanner(log)
	scanner.Buffer(nil, maxLineBytes)
	for scanner.Scan() {
		entry, ok := parse(scanner.Text())
		switch {
		case !ok:
		case id != "" && entry.Request == string(id):
			report.Steps = append(report.Steps, entry.text)
			report.Conclusion = conclude(entry)
			if entry.Server != "" {
				servers[entry.Server] = true
			}
		case entry.Request == "" && entry.Server != "":
			serverLines = append(serverLines, entry)
		}
	}
	if err := scanner.Err(); err != nil {
		return report, fmt.Errorf("read log: %w", err)
	}
	if len(report.Steps) == 0 {
		return report, fmt.Errorf("request %s: %w", id, ErrNotFound)
	}
	for _, entry := range serverLines {
		if servers[entry.Server] {
			report.Context = append(report.Context, entry.text)
		}
	}
	return report, nil
}

func parse(text string) (logLine, bool) {
	start := strings.IndexByte(text, '{')
	if start < 0 {
		return logLine{}, false
	}
	entry := logLine{text: text[start:]}
	return entry, json.Unmarshal([]byte(entry.text), &entry) == nil
}

// conclude returns the conclusion that follows from the last line about a request.
func conclude(entry logLine) string {
	switch {
	case entry.Message == "gateway: answered.":
		return fmt.Sprintf("Server %s answered with status %d.", entry.Server, entry.Status)
	case entry.Outcome == chivehillreason.NotRun:
		return fmt.Sprintf("The request did not run and will not run: %s. The caller got status %d.", entry.Reason, entry.Status)
	case entry.Outcome == chivehillreason.Unknown:
		return fmt.Sprintf("The request may have run: %s. The caller got status %d. Check the servers named above.", entry.Reason, entry.Status)
	}
	return fmt.Sprintf("The log does not show how the request ended. The last line says: %s", entry.Message)
}
