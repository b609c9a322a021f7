// Package chivehillexplain finds the way of one request in the log of a host.
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

// maxLineBytes bounds one line of a log.
const maxLineBytes = 1 << 20

// ErrNotFound means that the log has no line of the request.
var ErrNotFound = errors.New("no line of this request; requests that were answered at once are logged at level debug")

// line is what is read of a log line.
type line struct {
	Request string                  `json:"request"`
	Server  string                  `json:"server"`
	Message string                  `json:"message"`
	Reason  chivehillreason.Reason  `json:"reason"`
	Outcome chivehillreason.Outcome `json:"outcome"`
	Status  int                     `json:"status"`
	text    string
}

// Report is what the log tells of a request.
type Report struct {
	// Steps are the lines of the request, in order.
	Steps []string
	// Context are the lines about the servers of the request, in order.
	Context []string
	// Conclusion says in a sentence what became of the request.
	Conclusion string
}

// Explain reads a log, line by line, and reports on a request. Lines may have
// text before the JSON object; lines without one are passed over.
func Explain(log io.Reader, id chivehillid.RequestID) (Report, error) {
	var report Report
	var others []line
	servers := make(map[string]bool)
	scanner := bufio.NewScanner(log)
	scanner.Buffer(nil, maxLineBytes)
	for scanner.Scan() {
		e, ok := parse(scanner.Text())
		switch {
		case !ok:
		case id != "" && e.Request == string(id):
			report.Steps = append(report.Steps, e.text)
			report.Conclusion = conclude(e)
			if e.Server != "" {
				servers[e.Server] = true
			}
		case e.Request == "" && e.Server != "":
			others = append(others, e)
		}
	}
	if err := scanner.Err(); err != nil {
		return report, fmt.Errorf("read log: %w", err)
	}
	if len(report.Steps) == 0 {
		return report, fmt.Errorf("request %s: %w", id, ErrNotFound)
	}
	for _, e := range others {
		if servers[e.Server] {
			report.Context = append(report.Context, e.text)
		}
	}
	return report, nil
}

func parse(text string) (line, bool) {
	start := strings.IndexByte(text, '{')
	if start < 0 {
		return line{}, false
	}
	e := line{text: text[start:]}
	return e, json.Unmarshal([]byte(e.text), &e) == nil
}

// conclude tells what the last line of a request means.
func conclude(e line) string {
	switch {
	case e.Message == "gateway: answered.":
		return fmt.Sprintf("Server %s answered with status %d.", e.Server, e.Status)
	case e.Outcome == chivehillreason.NotRun:
		return fmt.Sprintf("It did not run and will not: %s. The caller got status %d.", e.Reason, e.Status)
	case e.Outcome == chivehillreason.Unknown:
		return fmt.Sprintf("It may have run: %s. The caller got status %d; the servers named above know.", e.Reason, e.Status)
	}
	return fmt.Sprintf("The log ends before its end: %s", e.Message)
}
