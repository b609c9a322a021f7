//go:build review

package main

import (
	"fmt"
	"slices"
	"strings"
	"sync"
	"time"
)

const (
	configApply = 2 * time.Second
	lookup      = "/lohu930/"
	// silentShare is the largest share of the hosts that the store turns away.
	silentShare = 0.35
)

// silentWatchers: the store is silent to the hosts that watch the configuration, one in each
// region, and serves all others and the operator. Right after that the operator moves a route to
// another service.
func silentWatchers(o options) (bool, error) {
	d, err := newDeployment(o.record)
	if err != nil {
		return false, err
	}
	defer d.stop()
	const before, after = "huvo11a", "wuno96b"
	state := func(version int, service string, timeoutS float64) {
		d.configure(version, []string{before, after}, []route{{name: "r-3d3zji9", prefix: lookup, kind: "safe", service: service, timeoutS: timeoutS, aimS: 0.4, maxAttempts: 2}})
	}
	state(7, before, 1)
	for i, zone := range []string{"catania-a", "messina-b", "palermo-a", "trapani-b"} {
		for _, service := range []string{before, after} {
			s := &server{id: fmt.Sprintf("i-%d-%s", i+1, service), service: service, zone: zone, slots: 4, work: 2 * time.Millisecond}
			if err := d.addServer(s); err != nil {
				return false, err
			}
		}
	}
	if err := d.addHosts("catania-a", "catania-a", "messina-b", "messina-b", "palermo-a", "palermo-a", "trapani-b", "trapani-b"); err != nil {
		return false, err
	}
	if err := d.awaitAllReady(); err != nil {
		return false, err
	}
	time.Sleep((stabilityS + 1) * time.Second)
	broken := 0
	for episode := range 5 {
		// A change that all hosts get, after which the watches begin anew.
		state(10*episode+10, before, 1.1)
		time.Sleep(80 * time.Millisecond)
		watchers := d.store.configWatchers()
		if float64(len(watchers)) > silentShare*float64(len(d.hosts)) {
			return false, fmt.Errorf("%d hosts watch the configuration", len(watchers))
		}
		if o.trouble {
			d.store.beSilentTo(watchers)
			d.record.line("the store is silent to %s, and serves the others", strings.Join(watchers, ", "))
		}
		state(10*episode+15, after, 1.1)
		acknowledged := time.Now()
		d.record.line("version %d acknowledged: the route moves from %s to %s", 10*episode+15, before, after)
		broken += d.lookUpAt(watchers, acknowledged.Add(configApply), before)
		d.store.beSilentTo(nil)
		d.record.line("the store serves all hosts")
		// All hosts are in touch again before the next change.
		time.Sleep((stabilityS + 1) * time.Second)
		state(10*episode+17, before, 1)
		time.Sleep(3 * time.Second)
	}
	d.record.line("%d requests were sent more than %.0f s after the acknowledgement to hosts in touch and ran at %s", broken, configApply.Seconds(), before)
	return broken == 0, nil
}

// lookUpAt sends requests to the hosts that the store serves, from a time on for a second, and
// returns how many ran at a service.
func (d *deployment) lookUpAt(turnedAway []string, from time.Time, service string) int {
	time.Sleep(time.Until(from.Add(5 * time.Millisecond)))
	var tasks sync.WaitGroup
	var mu sync.Mutex
	requests := make(map[string]string)
	for _, h := range d.hosts {
		if slices.Contains(turnedAway, "chivehill/"+h.name) {
			continue
		}
		tasks.Go(func() {
			for end := time.Now().Add(time.Second); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
				at := time.Now()
				r := d.send(h, "GET", lookup+"2f", "", time.Second, 0)
				mu.Lock()
				requests[r.id] = fmt.Sprintf("%s, sent %.3f s after the bound, status %d", h.name, at.Sub(from).Seconds(), r.status)
				mu.Unlock()
			}
		})
	}
	tasks.Wait()
	n := 0
	for _, a := range d.ledger.of(func(path string) bool { return strings.HasPrefix(path, lookup) }) {
		if what, found := requests[a.id]; found && a.ran && a.service == service {
			n++
			d.record.line("request %s ran at %s of %s: %s", a.id, a.server, a.service, what)
		}
	}
	d.record.line("%d requests, %d of them handled by the older version", len(requests), n)
	return n
}
