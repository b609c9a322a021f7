package chivehillgateway

import (
	"sync"

	"github.com/chivehill/chivehill/internal/chivehillbudget"
	"github.com/chivehill/chivehill/internal/chivehillid"
)

const (
	// budgetFraction is the fraction of the allowed retries that the hosts use, so
	// that the bound holds even where the same requests are counted differently.
	budgetFraction = 0.75
	percent        = 100
)

// RetryBudget bounds the retries of each service. All hosts together stay within
// the bound, because each host uses only its share of the slack. It is safe for
// concurrent use.
type RetryBudget struct {
	mu sync.Mutex
	// ratio is the number of retries allowed per request.
	ratio float64
	// slack is the number of retries that all hosts together may send in addition in
	// one window.
	slack float64
	hosts int
	// budgets holds this host's budget for each service.
	budgets map[chivehillid.ServiceID]*chivehillbudget.Share
}

// NewRetryBudget returns the budget of one host; hosts is the number of hosts that
// share the slack.
func NewRetryBudget(ratio, slack float64, hosts int) *RetryBudget {
	return &RetryBudget{ratio: ratio, slack: slack, hosts: max(1, hosts), budgets: make(map[chivehillid.ServiceID]*chivehillbudget.Share)}
}

// SetHosts changes the number of hosts that share the slack.
func (b *RetryBudget) SetHosts(hosts int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if hosts < 1 || hosts == b.hosts {
		return
	}
	b.hosts = hosts
	for _, s := range b.budgets {
		s.SetBurst(b.hostSlack())
	}
}

// SetBounds changes the ratio and the slack. A change resets the budgets of all
// services.
func (b *RetryBudget) SetBounds(ratio, slack float64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if ratio == b.ratio && slack == b.slack {
		return
	}
	b.ratio, b.slack = ratio, slack
	clear(b.budgets)
}

// hostSlack returns the part of the slack that this host may use.
func (b *RetryBudget) hostSlack() float64 {
	return b.slack * budgetFraction / float64(b.hosts)
}

func (b *RetryBudget) forService(service chivehillid.ServiceID) *chivehillbudget.Share {
	b.mu.Lock()
	defer b.mu.Unlock()
	s := b.budgets[service]
	if s == nil {
		s = chivehillbudget.NewShare(b.ratio*budgetFraction*percent, b.hostSlack())
		b.budgets[service] = s
	}
	return s
}

// Deposit records a request to a service and adds the fraction of a retry that
// it permits to the budget.
func (b *RetryBudget) Deposit(service chivehillid.ServiceID) { b.forService(service).Deposit() }

// Take reports whether one more retry to a service is allowed. If so, it takes the
// retry from the budget.
func (b *RetryBudget) Take(service chivehillid.ServiceID) bool { return b.forService(service).Take() }
