package main

import (
	"fmt"
	"runtime"
	"time"

	"github.com/chivehill/chivehill/internal/chivehillclock"
	"github.com/chivehill/chivehill/internal/chivehillkey"
	"github.com/chivehill/chivehill/internal/chivehillreason"
)

// keysCmd measures the memory and time that the key table uses per key.
type keysCmd struct {
	Counts []int `default:"50000,100000,200000" help:"Numbers of keys to store."`
}

// Run implements the command.
func (c *keysCmd) Run() error {
	w := newTable()
	fmt.Fprintln(w, "keys\tMB\tbytes a key\tmicroseconds a key\t")
	for _, n := range c.Counts {
		before := heapBytes()
		start := time.Now()
		table, err := fillTable(n)
		if err != nil {
			return err
		}
		took := time.Since(start)
		used := heapBytes() - before
		fmt.Fprintf(w, "%d\t%.1f\t%.0f\t%.2f\t\n", n, float64(used)/1e6, float64(used)/float64(n), float64(took.Microseconds())/float64(n))
		runtime.KeepAlive(table)
	}
	return w.Flush()
}

// fillTable returns a table that holds n keys without stored responses.
func fillTable(n int) (*chivehillkey.Table, error) {
	table := chivehillkey.NewTable("host", "0123456789abcdef", chivehillkey.Limits{
		MaxKeys: n, KeptBytes: 1, Window: chivehillclock.Minute, Keep: chivehillclock.Minute,
	}, 0)
	for i := range n {
		key, err := chivehillkey.Parse(fmt.Sprintf("%sc%023d", table.Prefix(0), i))
		if err != nil {
			return nil, err
		}
		if first, ok := table.Claim(key, 1, false).(chivehillkey.First); ok {
			table.End(key, first.Entry, chivehillkey.Answer{Outcome: chivehillreason.Done})
		}
	}
	return table, nil
}

func heapBytes() uint64 {
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return stats.HeapAlloc
}
