package chivehillrollout

import (
	"cmp"
	"maps"
	"slices"

	"github.com/chivehill/chivehill/internal/chivehillid"
)

const (
	// leastControls is the number of usable answers of the controls on a route from which a
	// median is taken.
	leastControls = 4
	// slowSteps is by how many buckets a slow answer is above the controls' median, so that it
	// takes about 2.5 times as long. Neighbours on a machine slow down good answers, too, but
	// rarely by verySlowSteps.
	slowSteps     = 3
	verySlowSteps = 6
)

// The signs of a bad version.
const (
	signFailures = "failures"
	signSlow     = "slow"
)

// count is how many of a server's answers show a sign.
type count struct {
	answers, shown int
}

// sample holds, for a sign and one or all routes, the counts of the servers that answered.
type sample struct {
	sign           string
	route          chivehillid.RouteID
	trial, control []count
}

// reading returns how many answers of a route there are and how many show a sign.
type reading func(route int, t *Tally) count

// samples returns the samples of all signs, over all routes and by route. The first is that
// of failures over all routes.
func (l *ledger) samples(tallies []Tally) []sample {
	medians := l.medians(tallies)
	signs := []struct {
		name string
		read reading
	}{
		{signFailures, readFailures},
		{signSlow, readSlow(medians, slowSteps)},
		{signSlow, readSlow(medians, verySlowSteps)},
	}
	var list []sample
	for _, g := range signs {
		counts := make([]count, len(tallies))
		for i := range tallies {
			counts[i] = g.read(l.cells[i].route, &tallies[i])
		}
		all := sample{sign: g.name}
		list = append(list, l.fill(all, counts))
		if len(l.routes) < 2 {
			continue
		}
		for _, r := range slices.Sorted(maps.Keys(l.routes)) {
			list = append(list, l.fill(sample{sign: g.name, route: r}, counts))
		}
	}
	return list
}

// fill adds up a sample's counts by server. Their order depends on them alone.
func (l *ledger) fill(s sample, counts []count) sample {
	byServer := make([]count, len(l.servers))
	only, one := l.routes[s.route]
	one = one && s.route != ""
	for i, c := range counts {
		if one && l.cells[i].route != only {
			continue
		}
		byServer[l.cells[i].server].answers += c.answers
		byServer[l.cells[i].server].shown += c.shown
	}
	for k, c := range byServer {
		switch {
		case c.answers == 0:
		case l.trials[k]:
			s.trial = append(s.trial, c)
		default:
			s.control = append(s.control, c)
		}
	}
	slices.SortFunc(s.trial, compareCounts)
	slices.SortFunc(s.control, compareCounts)
	return s
}

func compareCounts(a, b count) int {
	return cmp.Or(cmp.Compare(a.answers, b.answers), cmp.Compare(a.shown, b.shown))
}

// readFailures counts the answers that failed.
func readFailures(_ int, t *Tally) count {
	return count{answers: t.Answered, shown: t.Failed}
}

// readSlow counts the usable answers that are some buckets above the median of their route.
// Routes without a median are left out.
func readSlow(medians []int, steps int) reading {
	return func(route int, t *Tally) count {
		m := medians[route]
		if m == noMedian {
			return count{}
		}
		n := count{answers: t.Times.sum()}
		for _, k := range t.Times[min(m+steps, timeBuckets):] {
			n.shown += k
		}
		return n
	}
}

// noMedian stands for the median of a route with too few answers.
const noMedian = -1

// medians returns the bucket of the median of the controls' usable answers on each route.
func (l *ledger) medians(tallies []Tally) []int {
	pooled := make([]Times, len(l.routes))
	for i, c := range l.cells {
		if !c.trial {
			pooled[c.route].add(&tallies[i].Times)
		}
	}
	list := make([]int, len(pooled))
	for i := range pooled {
		list[i] = noMedian
		if pooled[i].sum() >= leastControls {
			list[i] = pooled[i].median()
		}
	}
	return list
}

func (t *Times) sum() int {
	n := 0
	for _, k := range t {
		n += k
	}
	return n
}

func (t *Times) add(u *Times) {
	for i, k := range u {
		t[i] += k
	}
}

// median returns the bucket of the lower median.
func (t *Times) median() int {
	half := (t.sum() + 1) / 2
	n := 0
	for i, k := range t {
		n += k
		if n >= half {
			return i
		}
	}
	return timeBuckets - 1
}
