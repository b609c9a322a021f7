package chivehillgateway

import (
	"sync"

	"github.com/chivehill/chivehill/internal/chivehillbudget"
	"github.com/chivehill/chivehill/internal/chivehillid"
)

const (
	// budgetPart is the part of the allowed retries that the hosts use, so that
	// differing counts of the same requests do not break the bound.
	budgetPart = 0.75
	percent    = 100
)

// RetryBudget bounds the sends beyond the first of each request, by service.
// All hosts together stay within the bound since each uses its share. It is
// safe for concurrent use.
type RetryBudget struct {
	mu sync.Mutex
	// ratio is the part of the requests that may be sent once more.
	ratio float64
	// slack is what all hosts together may send beyond that in one window.
	slack  float64
	hosts  int
	shares map[chivehillid.ServiceID]*chivehillbudget.Share
}

// NewRetryBudget returns a budget for one host of hosts.
func NewRetryBudget(ratio, slack float64, hosts int) *RetryBudget {
	return &RetryBudget{ratio: ratio, slack: slack, hosts: max(1, hosts), shares: make(map[chivehillid.ServiceID]*chivehillbudget.Share)}
}

// SetHosts tells among how many hosts the slack is shared.
func (b *RetryBudget) SetHosts(hosts int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if hosts < 1 || hosts == b.hosts {
		return
	}
	b.hosts = hosts
	for _, s := range b.shares {
		s.SetBurst(b.burst())
	}
}

// SetBounds changes the ratio and the slack.
func (b *RetryBudget) SetBounds(ratio, slack float64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if ratio == b.ratio && slack == b.slack {
		return
	}
	b.ratio, b.slack = ratio, slack
	clear(b.shares)
}

func (b *RetryBudget) burst() float64 {
	return b.slack * budgetPart / float64(b.hosts)
}

func (b *RetryBudget) share(service chivehillid.ServiceID) *chivehillbudget.Share {
	b.mu.Lock()
	defer b.mu.Unlock()
	s := b.shares[service]
	if s == nil {
		s = chivehillbudget.NewShare(b.ratio*budgetPart*percent, b.burst())
		b.shares[service] = s
	}
	return s
}

// Earn counts a request for a service.
func (b *RetryBudget) Earn(service chivehillid.ServiceID) { b.share(service).Earn() }

// Take reports whether one more send to a service is allowed, and counts it.
func (b *RetryBudget) Take(service chivehillid.ServiceID) bool { return b.share(service).Take() }
