package chivehillrollout

import "github.com/chivehill/chivehill/internal/chivehillid"

// ledger gives each cell that it has seen a place, so that tallies can be kept in slices.
type ledger struct {
	places map[Cell]int
	// cells are in the order of their places.
	cells []place
	// servers and routes give each server and route an index. A server that is seen on both
	// sides counts as two.
	servers map[side]int
	// trials tells of each server's index whether it is a canary.
	trials []bool
	routes map[chivehillid.RouteID]int
}

// place says where a cell's tally belongs.
type place struct {
	server int
	route  int
	trial  bool
}

// side is a server as a canary or as a control.
type side struct {
	server chivehillid.ServerID
	trial  bool
}

func newLedger() ledger {
	return ledger{
		places:  map[Cell]int{},
		servers: map[side]int{},
		routes:  map[chivehillid.RouteID]int{},
	}
}

// tallies returns the totals by place. Cells that the totals lack have no answers.
func (l *ledger) tallies(totals Totals) []Tally {
	for c := range totals {
		l.add(c)
	}
	list := make([]Tally, len(l.cells))
	for c, t := range totals {
		list[l.places[c]] = t.less(Tally{})
	}
	return list
}

// add gives a cell a place if it has none.
func (l *ledger) add(c Cell) {
	if _, ok := l.places[c]; ok {
		return
	}
	l.places[c] = len(l.cells)
	server := indexOf(l.servers, side{server: c.Server, trial: c.Trial})
	if server == len(l.trials) {
		l.trials = append(l.trials, c.Trial)
	}
	l.cells = append(l.cells, place{
		server: server,
		route:  indexOf(l.routes, c.Route),
		trial:  c.Trial,
	})
}

// indexOf returns the index of a key, which is the next free one if the key is new.
func indexOf[K comparable](indices map[K]int, key K) int {
	i, ok := indices[key]
	if !ok {
		i = len(indices)
		indices[key] = i
	}
	return i
}

// since returns what the tallies have grown by. A count that shrank has not grown. The
// earlier tallies may have fewer places.
func since(tallies, earlier []Tally) []Tally {
	grown := make([]Tally, len(tallies))
	for i, t := range tallies {
		var e Tally
		if i < len(earlier) {
			e = earlier[i]
		}
		grown[i] = t.less(e)
	}
	return grown
}

// less returns the tally less an earlier one, without negative counts.
func (t Tally) less(earlier Tally) Tally {
	d := Tally{
		Answered: max(0, t.Answered-earlier.Answered),
		Failed:   max(0, t.Failed-earlier.Failed),
	}
	d.Failed = min(d.Failed, d.Answered)
	for i := range d.Times {
		d.Times[i] = max(0, t.Times[i]-earlier.Times[i])
	}
	return d
}
