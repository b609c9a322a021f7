package main

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/sourcegraph/conc/pool"
)

// entryCmd measures the latency that an entry host adds to a call.
type entryCmd struct {
	Direct    string  `required:"" help:"Address of the server, called directly."`
	Through   string  `required:"" help:"Address of the entry host for callers."`
	Operators string  `required:"" help:"Address of the administration API of the entry host."`
	Rate      float64 `default:"2000" help:"Calls per second."`
	Seconds   float64 `default:"10" help:"Duration of each measurement."`
	Callers   int     `default:"64" help:"Maximum number of concurrent calls."`
}

// Run implements the command. Direct and proxied measurements alternate, so that
// a change of the machine's speed affects both.
func (c *entryCmd) Run() error {
	const rounds = 3
	direct, through := newHistogram(), newHistogram()
	var cpu float64
	for range rounds {
		if err := c.measure(c.Direct, direct); err != nil {
			return err
		}
		before, err := c.cpuSeconds()
		if err != nil {
			return err
		}
		if err := c.measure(c.Through, through); err != nil {
			return err
		}
		after, err := c.cpuSeconds()
		if err != nil {
			return err
		}
		cpu += after - before
	}
	const micros = 1000.0
	w := newTable()
	fmt.Fprintln(w, "path\tcalls\tp50 ms\tp99 ms\tp99.9 ms\t")
	for _, r := range []struct {
		name  string
		times *hdrhistogram.Histogram
	}{{"direct", direct}, {"through the host", through}} {
		fmt.Fprintf(w, "%s\t%d\t%.3f\t%.3f\t%.3f\t\n", r.name, r.times.TotalCount(),
			float64(r.times.ValueAtQuantile(50))/micros, float64(r.times.ValueAtQuantile(99))/micros, float64(r.times.ValueAtQuantile(99.9))/micros)
	}
	fmt.Fprintf(w, "added\t\t%.3f\t%.3f\t%.3f\t\n", difference(through, direct, 50), difference(through, direct, 99), difference(through, direct, 99.9))
	if err := w.Flush(); err != nil {
		return err
	}
	fmt.Printf("entry host: %.1f microseconds of processor time a call, %.0f calls a second per core\n",
		cpu/float64(through.TotalCount())*1e6, float64(through.TotalCount())/cpu)
	return nil
}

func newHistogram() *hdrhistogram.Histogram {
	const highestMicros, significantDigits = 60_000_000, 3
	return hdrhistogram.New(1, highestMicros, significantDigits)
}

func difference(a, b *hdrhistogram.Histogram, quantile float64) float64 {
	const micros = 1000.0
	return float64(a.ValueAtQuantile(quantile)-b.ValueAtQuantile(quantile)) / micros
}

var errFailedCalls = errors.New("calls failed")

// measure sends calls at a fixed rate. The latency of a call is counted from the
// time at which it was due, so that a stall shows in all calls that it delays
// (no coordinated omission).
func (c *entryCmd) measure(address string, into *hdrhistogram.Histogram) error {
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: c.Callers}}
	defer client.CloseIdleConnections()
	var mu sync.Mutex
	failed := 0
	callers := pool.New().WithMaxGoroutines(c.Callers)
	start := time.Now()
	total := int(c.Rate * c.Seconds)
	for i := range total {
		due := start.Add(time.Duration(float64(i) / c.Rate * float64(time.Second)))
		time.Sleep(time.Until(due))
		callers.Go(func() {
			err := get(client, "http://"+address+"/x")
			took := time.Since(due)
			mu.Lock()
			defer mu.Unlock()
			if err != nil {
				failed++
				return
			}
			_ = into.RecordValue(took.Microseconds())
		})
	}
	callers.Wait()
	if failed > 0 {
		return fmt.Errorf("%w: %d of %d to %s", errFailedCalls, failed, total, address)
	}
	return nil
}

func get(client *http.Client, url string) error {
	req, err := http.NewRequestWithContext(context.Background(), http.MethodGet, url, nil)
	if err != nil {
		return err
	}
	resp, err := client.Do(req)
	if err != nil {
		return err
	}
	defer func() { _ = resp.Body.Close() }()
	if _, err := io.Copy(io.Discard, resp.Body); err != nil {
		return err
	}
	if resp.StatusCode != http.StatusOK {
		return fmt.Errorf("status %d", resp.StatusCode)
	}
	return nil
}

// cpuSeconds reads the CPU time of the entry host from its metrics.
func (c *entryCmd) cpuSeconds() (float64, error) {
	req, err := http.NewRequestWithContext(context.Background(), http.MethodGet, "http://"+c.Operators+"/metrics", nil)
	if err != nil {
		return 0, err
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return 0, fmt.Errorf("read metrics of %s: %w", c.Operators, err)
	}
	defer func() { _ = resp.Body.Close() }()
	data, err := io.ReadAll(resp.Body)
	if err != nil {
		return 0, fmt.Errorf("read metrics of %s: %w", c.Operators, err)
	}
	for line := range strings.Lines(string(data)) {
		if value, found := strings.CutPrefix(line, "process_cpu_seconds_total "); found {
			return strconv.ParseFloat(strings.TrimSpace(value), 64)
		}
	}
	return 0, errors.New("no process_cpu_seconds_total in the metrics of " + c.Operators)
}
