package chivehillhost

import (
	"syscall"

	"github.com/chivehill/chivehill/internal/chivehillbudget"
	"github.com/chivehill/chivehill/internal/chivehillwire"
)

const (
	// otherDescriptorShare is the share of the descriptors that connections to each of the
	// addresses for readiness, the directory and metrics may use.
	otherDescriptorShare = 1.0 / 16
	// assumedDescriptors is assumed if the system does not tell the limit.
	assumedDescriptors = 1024
	// maxDescriptors is assumed if there are more.
	maxDescriptors = 1 << 20
	// maxOtherHeadBytes limits the heads of requests at the other listening addresses.
	maxOtherHeadBytes = 16 << 10
)

// maxConnections returns how many connections of callers may be open: what the settings say,
// or what the memory has room for.
func maxConnections(s chivehillwire.GatewaySettings, p chivehillbudget.Plan) int {
	if s.MaxCallerConnections > 0 {
		return s.MaxCallerConnections
	}
	return p.MaxConnections
}

// otherConnections returns how many connections may be open to each of the other addresses.
func otherConnections() int { return int(float64(descriptors()) * otherDescriptorShare) }

// descriptors returns how many descriptors the process may have open.
func descriptors() int {
	var limit syscall.Rlimit
	if err := syscall.Getrlimit(syscall.RLIMIT_NOFILE, &limit); err != nil {
		return assumedDescriptors
	}
	return int(min(limit.Cur, maxDescriptors))
}

// memoryKinds returns the memory by what it is held for.
func (h *Host) memoryKinds() map[string]*chivehillbudget.Memory {
	return map[string]*chivehillbudget.Memory{
		"connections": h.plan.Connections, "small-requests": h.plan.Small, "large-requests": h.plan.Large, "responses": h.plan.Responses,
	}
}

// logLimits logs the limits on what the host holds for others.
func (h *Host) logLimits() {
	h.log.Info().Int64("go-bytes", h.plan.GoLimit).Int64("held-bytes", h.plan.Small.Limit()).Int64("large-requests-bytes", h.plan.Large.Limit()).
		Int("connections", h.front.MaxConnections).Int64("caller-descriptors", h.front.Descriptors.Limit()).Msg("host: limits derived.")
	for kind, m := range h.memoryKinds() {
		h.metrics.MemoryLimit.WithLabelValues(kind).Set(float64(m.Limit()))
	}
}

func (h *Host) recordMemory() {
	for kind, m := range h.memoryKinds() {
		h.metrics.MemoryHeld.WithLabelValues(kind).Set(float64(m.Used()))
	}
}

// checkLimits logs whether a body of the largest permitted size can ever be taken.
func (h *Host) checkLimits() {
	if largest := int64(h.limits().BodyBytes); largest > h.plan.Large.Limit() {
		h.log.Warn().Int64("largest-body-bytes", largest).Int64("held-bytes", h.plan.Large.Limit()).Msg("host: the memory has no room for a body of the largest permitted size; such bodies are refused with 503.")
	}
}
