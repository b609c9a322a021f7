package chivehillbudget

import "sync/atomic"

// Memory limits the memory that several users take together. It is safe for concurrent use.
type Memory struct {
	limit int64
	// used is the number of bytes reserved.
	used atomic.Int64
}

// NewMemory returns a limit of so many bytes.
func NewMemory(limit int64) *Memory { return &Memory{limit: limit} }

// Reserve reserves memory and reports whether the limit permits it.
func (m *Memory) Reserve(bytes int64) bool {
	if m.used.Add(bytes) <= m.limit {
		return true
	}
	m.used.Add(-bytes)
	return false
}

// Release gives back reserved memory.
func (m *Memory) Release(bytes int64) { m.used.Add(-bytes) }

// Used returns the number of bytes reserved.
func (m *Memory) Used() int64 { return m.used.Load() }
