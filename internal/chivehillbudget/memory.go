package chivehillbudget

import "sync/atomic"

// Memory limits the memory that several users take together. It is safe for concurrent use.
// A nil Memory limits and counts nothing.
type Memory struct {
	limit int64
	// used is the number of bytes reserved.
	used atomic.Int64
	// total counts what all shares of the same memory have reserved. It is nil if used is
	// what the limit applies to.
	total *atomic.Int64
}

// NewMemory returns a limit of so many bytes.
func NewMemory(limit int64) *Memory { return &Memory{limit: limit} }

// share returns a Memory that counts what is reserved of it, and towards total. It permits a
// reservation while total stays within the limit.
func share(total *atomic.Int64, limit int64) *Memory { return &Memory{limit: limit, total: total} }

// Reserve reserves memory and reports whether the limit permits it.
func (m *Memory) Reserve(bytes int64) bool {
	if m == nil {
		return true
	}
	used := m.used.Add(bytes)
	if m.total != nil {
		used = m.total.Add(bytes)
	}
	if used <= m.limit {
		return true
	}
	m.Release(bytes)
	return false
}

// Charge reserves memory even if the limit does not permit it. It is for what is already held.
func (m *Memory) Charge(bytes int64) { m.Release(-bytes) }

// Release gives back reserved memory.
func (m *Memory) Release(bytes int64) {
	if m == nil {
		return
	}
	m.used.Add(-bytes)
	if m.total != nil {
		m.total.Add(-bytes)
	}
}

// Used returns the number of bytes reserved.
func (m *Memory) Used() int64 {
	if m == nil {
		return 0
	}
	return m.used.Load()
}

// Limit returns the limit.
func (m *Memory) Limit() int64 { return m.limit }
