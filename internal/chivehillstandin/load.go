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

// LoadOptions configure a load of concurrent calls.
type LoadOptions struct {
	// Seeds are the addresses of hosts at which the client starts.
	Seeds  []string
	Tenant string
	// Lookups is the number of idempotent calls to LookupPath.
	Lookups    int
	LookupPath string
	// Runs is the number of non-idempotent calls to RunPath.
	Runs    int
	RunPath string
	// Callers is the maximum number of concurrent calls.
	Callers int
	Timeout time.Duration
	// Servers are the addresses of the fake servers whose records are compared with
	// the outcomes that callers got.
	Servers []string
}

// LoadReport summarizes the results that the callers got for one kind of call.
type LoadReport struct {
	Kind    string
	Calls   int
	Done    int
	NotRun  int
	Unknown int
	// Wrong counts responses marked done that were incomplete or belonged to another
	// request.
	Wrong   int
	P50Ms   float64
	P99Ms   float64
	Reasons map[string]int
	// Outcomes maps each idempotency key to the outcome that its caller got.
	Outcomes map[string]chivehillclient.Outcome
}

// Range and precision of the latency histograms.
const (
	maxLatencyMicros  = 60_000_000
	significantDigits = 3
)

// RunLoad sends the calls and returns one report for the lookups and one for the
// runs.
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
	mu        sync.Mutex
	report    LoadReport
	latencies *hdrhistogram.Histogram
}

func newRecorder(kind string) *recorder {
	return &recorder{
		report:    LoadReport{Kind: kind, Reasons: make(map[string]int), Outcomes: make(map[string]chivehillclient.Outcome)},
		latencies: hdrhistogram.New(1, maxLatencyMicros, significantDigits),
	}
}

// call sends the i-th call and records its result.
func (r *recorder) call(ctx context.Context, client *chivehillclient.Client, o LoadOptions, method, path string, idempotent bool, i int) {
	body := []byte(fmt.Sprintf("%s %d", r.report.Kind, i))
	start := time.Now()
	response, err := client.Do(ctx, chivehillclient.Call{
		Method: method, Path: path, Body: body, Idempotent: idempotent, Timeout: o.Timeout,
	})
	latency := time.Since(start)
	r.mu.Lock()
	defer r.mu.Unlock()
	r.report.Calls++
	if response.Key != "" {
		r.report.Outcomes[response.Key] = response.Outcome
	}
	switch response.Outcome {
	case chivehillclient.Done:
		r.report.Done++
		_ = r.latencies.RecordValue(latency.Microseconds())
		if !isOwnResponse(response, body) {
			r.report.Wrong++
		}
		return
	case chivehillclient.Unknown:
		r.report.Unknown++
	case chivehillclient.NotRun:
		r.report.NotRun++
	}
	reason := response.Reason
	if err != nil {
		reason = err.Error()
	}
	r.report.Reasons[reason]++
}

// isOwnResponse reports whether a response is complete and belongs to the request
// with this body.
func isOwnResponse(response chivehillclient.Answer, body []byte) bool {
	if response.Status != http.StatusOK {
		return false
	}
	var got ServerAnswer
	if err := json.Unmarshal(response.Body, &got); err != nil {
		return false
	}
	return got.BodyHash == BodyHash(body) && got.Key == response.Key
}

// finish sets the latency percentiles and returns the report.
func (r *recorder) finish() LoadReport {
	const microsPerMilli = 1000
	r.report.P50Ms = float64(r.latencies.ValueAtQuantile(50)) / microsPerMilli
	r.report.P99Ms = float64(r.latencies.ValueAtQuantile(99)) / microsPerMilli
	return r.report
}

// ReadRecords fetches the records of the fake servers at these addresses. Servers
// that do not respond are left out.
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

// Control sends a request to the control API of a fake, or to another JSON API at
// address, and decodes the response into into unless that is nil.
func Control(ctx context.Context, method, address, path string, body, into any) error {
	var data []byte
	if body != nil {
		var err error
		if data, err = json.Marshal(body); err != nil {
			return fmt.Errorf("control request to %s: %w", address, err)
		}
	}
	req, err := http.NewRequestWithContext(ctx, method, "http://"+address+path, bytes.NewReader(data))
	if err != nil {
		return fmt.Errorf("control request to %s: %w", address, err)
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return fmt.Errorf("control request to %s: %w", address, err)
	}
	defer func() { _ = resp.Body.Close() }()
	response, err := io.ReadAll(resp.Body)
	if err != nil {
		return fmt.Errorf("control request to %s: %w", address, err)
	}
	if resp.StatusCode != http.StatusOK {
		return fmt.Errorf("control request to %s: got status %d, expected 200: %s", address, resp.StatusCode, response)
	}
	if into == nil {
		return nil
	}
	return json.Unmarshal(response, into)
}

// MostRuns returns the maximum number of runs of any one idempotency key, summed
// over all records.
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
