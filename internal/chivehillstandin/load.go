package chivehillstandin

import (
	"bytes"
	"cmp"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/sourcegraph/conc/pool"

	"github.com/chivehill/chivehill/pkg/chivehillclient"
)

// LoadOptions describe a load of callers.
type LoadOptions struct {
	Seeds  []string
	Tenant string
	// Lookups is the number of idempotent calls to LookupPath.
	Lookups    int
	LookupPath string
	// Runs is the number of non-idempotent calls to RunPath.
	Runs    int
	RunPath string
	// Callers is the number of calls at the same time.
	Callers int
	Timeout time.Duration
	// Servers are the addresses of the stand-in servers whose records judge.
	Servers []string
}

// LoadReport is what the callers saw.
type LoadReport struct {
	Kind    string
	Calls   int
	Done    int
	NotRun  int
	Unknown int
	// Wrong counts answers that were not the whole answer to the caller's own request.
	Wrong   int
	P50Ms   float64
	P99Ms   float64
	Reasons map[string]int
	// Outcomes holds the outcome of each key.
	Outcomes map[string]chivehillclient.Outcome
}

const (
	highestMicros = 60_000_000
	figures       = 3
)

// RunLoad sends the calls and returns a report for each kind.
func RunLoad(ctx context.Context, o LoadOptions) []LoadReport {
	client := chivehillclient.New(chivehillclient.Options{Seeds: o.Seeds, Tenant: o.Tenant})
	lookups := newRecorder("lookup")
	runs := newRecorder("run")
	callers := pool.New().WithMaxGoroutines(cmp.Or(o.Callers, 1))
	total := max(o.Lookups, o.Runs)
	for i := range total {
		if i < o.Lookups {
			callers.Go(func() { lookups.call(ctx, client, o, http.MethodGet, o.LookupPath, true, i) })
		}
		if i < o.Runs {
			callers.Go(func() { runs.call(ctx, client, o, http.MethodPost, o.RunPath, false, i) })
		}
	}
	callers.Wait()
	return []LoadReport{lookups.finish(), runs.finish()}
}

// recorder collects the results of one kind of call.
type recorder struct {
	mu     sync.Mutex
	report LoadReport
	times  *hdrhistogram.Histogram
}

func newRecorder(kind string) *recorder {
	return &recorder{
		report: LoadReport{Kind: kind, Reasons: make(map[string]int), Outcomes: make(map[string]chivehillclient.Outcome)},
		times:  hdrhistogram.New(1, highestMicros, figures),
	}
}

func (r *recorder) call(ctx context.Context, client *chivehillclient.Client, o LoadOptions, method, path string, idempotent bool, i int) {
	body := []byte(fmt.Sprintf("%s %d", r.report.Kind, i))
	start := time.Now()
	answer, err := client.Do(ctx, chivehillclient.Call{
		Method: method, Path: path, Body: body, Idempotent: idempotent, Timeout: o.Timeout,
	})
	took := time.Since(start)
	r.mu.Lock()
	defer r.mu.Unlock()
	r.report.Calls++
	if answer.Key != "" {
		r.report.Outcomes[answer.Key] = answer.Outcome
	}
	switch answer.Outcome {
	case chivehillclient.Done:
		r.report.Done++
		_ = r.times.RecordValue(took.Microseconds())
		if !ownAnswer(answer, body) {
			r.report.Wrong++
		}
		return
	case chivehillclient.Unknown:
		r.report.Unknown++
	case chivehillclient.NotRun:
		r.report.NotRun++
	}
	reason := answer.Reason
	if err != nil {
		reason = err.Error()
	}
	r.report.Reasons[reason]++
}

// ownAnswer reports whether an answer is whole and belongs to the request.
func ownAnswer(a chivehillclient.Answer, body []byte) bool {
	if a.Status != http.StatusOK {
		return false
	}
	var got ServerAnswer
	if err := json.Unmarshal(a.Body, &got); err != nil {
		return false
	}
	return got.BodyHash == BodyHash(body) && got.Key == a.Key
}

func (r *recorder) finish() LoadReport {
	const microsPerMilli = 1000
	r.report.P50Ms = float64(r.times.ValueAtQuantile(50)) / microsPerMilli
	r.report.P99Ms = float64(r.times.ValueAtQuantile(99)) / microsPerMilli
	return r.report
}

// ReadRecords reads the records of servers. Servers that do not answer are left out.
func ReadRecords(ctx context.Context, servers []string) []Record {
	var records []Record
	for _, address := range servers {
		var record Record
		if err := Control(ctx, http.MethodGet, address, "/control/record", nil, &record); err == nil {
			records = append(records, record)
		}
	}
	return records
}

// Control calls the control interface of a stand-in.
func Control(ctx context.Context, method, address, path string, body, into any) error {
	var data []byte
	if body != nil {
		var err error
		if data, err = json.Marshal(body); err != nil {
			return fmt.Errorf("control %s: %w", address, err)
		}
	}
	req, err := http.NewRequestWithContext(ctx, method, "http://"+address+path, bytes.NewReader(data))
	if err != nil {
		return fmt.Errorf("control %s: %w", address, err)
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return fmt.Errorf("control %s: %w", address, err)
	}
	defer func() { _ = resp.Body.Close() }()
	answer, err := io.ReadAll(resp.Body)
	if err != nil {
		return fmt.Errorf("control %s: %w", address, err)
	}
	if resp.StatusCode != http.StatusOK {
		return fmt.Errorf("control %s: status %d: %s", address, resp.StatusCode, answer)
	}
	if into == nil {
		return nil
	}
	return json.Unmarshal(answer, into)
}

// MostRuns returns the highest number of runs of one key.
func MostRuns(records []Record) int {
	runs := make(map[string]int)
	most := 0
	for _, r := range records {
		for key, n := range r.Runs {
			runs[key] += n
			most = max(most, runs[key])
		}
	}
	return most
}
