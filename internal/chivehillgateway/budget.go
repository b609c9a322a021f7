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
	// slackPart is the part of a host's slack that one workspace may use, so that the retry
	// storm of one leaves slack to the others.
	slackPart = 0.5
)

// RetryBudget bounds the retries of each service. All hosts together stay within
// the bound, because each host uses only its share of the slack. Within it, a workspace
// may send as many retries as its own requests permit and a part of the slack. It is safe
// for concurrent use.
type RetryBudget struct {
	mu sync.Mutex
	// ratio is the number of retries allowed per request.
	ratio float64
	// slack is the number of retries that all hosts together may send in addition in
	// one window.
	slack float64
	hosts int
	// budgets holds this host's budget for each service.
	budgets map[chivehillid.ServiceID]*serviceBudget
}

// serviceBudget is one host's budget for a service.
type serviceBudget struct {
	// all bounds the retries of all workspaces together.
	all *chivehillbudget.Share
	// named is set once a request of a workspace was counted. Until then, no workspace is
	// bounded, as in deployments without workspaces.
	named bool
	// used holds for each workspace the retries that its requests have not made up for. It is
	// positive; a workspace without an entry has used nothing. Requests without a workspace
	// count together as one.
	used map[chivehillid.WorkspaceID]float64
}

// NewRetryBudget returns the budget of one host; hosts is the number of hosts that
// share the slack.
func NewRetryBudget(ratio, slack float64, hosts int) *RetryBudget {
	return &RetryBudget{ratio: ratio, slack: slack, hosts: max(1, hosts), budgets: make(map[chivehillid.ServiceID]*serviceBudget)}
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
		s.all.SetBurst(b.hostSlack())
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

// workspaceSlack returns the part of this host's slack that one workspace may use: at least
// one retry, since many hosts have little slack each.
func (b *RetryBudget) workspaceSlack() float64 {
	return max(1, slackPart*b.hostSlack())
}

// forService returns the budget of a service. The caller must hold the lock.
func (b *RetryBudget) forService(service chivehillid.ServiceID) *serviceBudget {
	s := b.budgets[service]
	if s == nil {
		s = &serviceBudget{
			all:  chivehillbudget.NewShare(b.ratio*budgetFraction*percent, b.hostSlack()),
			used: make(map[chivehillid.WorkspaceID]float64),
		}
		b.budgets[service] = s
	}
	return s
}

// Deposit records a request to a service and adds the fraction of a retry that
// it permits to the budget. w is empty if the request has no workspace.
func (b *RetryBudget) Deposit(service chivehillid.ServiceID, w chivehillid.WorkspaceID) {
	b.mu.Lock()
	defer b.mu.Unlock()
	s := b.forService(service)
	s.all.Deposit()
	s.named = s.named || w != ""
	used, found := s.used[w]
	if !found {
		return
	}
	used -= b.ratio * budgetFraction
	if used <= 0 {
		delete(s.used, w)
		return
	}
	s.used[w] = used
}

// Take reports whether one more retry to a service is allowed. If so, it takes the
// retry from the budget.
func (b *RetryBudget) Take(service chivehillid.ServiceID, w chivehillid.WorkspaceID) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	s := b.forService(service)
	if s.named && s.used[w]+1 > b.workspaceSlack() {
		return false
	}
	if !s.all.Take() {
		return false
	}
	if s.named {
		s.used[w]++
	}
	return true
}
