//go:build review

package main

import (
	"fmt"
	"strings"
	"sync"
	"time"
)

const (
	certify    = "/pufi791/"
	poisonPath = certify + "poison"
	poisonBody = "the same body each time"
	// deadline is how long a consumer waits, leaveAfter when one leaves early: within half of the
	// objective of 500 ms.
	deadline   = 2500 * time.Millisecond
	leaveAfter = 120 * time.Millisecond
	serverWork = 210 * time.Millisecond
	serverDown = 2 * time.Second
)

// startPoison starts hosts in the given zones and ten servers of one service with a route of
// unsafe requests.
func startPoison(o options, inZones ...string) (*deployment, error) {
	d, err := newDeployment(o.record)
	if err != nil {
		return nil, err
	}
	d.configure(7, []string{"huvo11a"}, []route{{name: "r-n73hh2b", prefix: certify, kind: "unsafe", service: "huvo11a", timeoutS: 1.2, aimS: 0.5, maxAttempts: 2}})
	for i := range 10 {
		zone := []string{"catania-a", "messina-b", "palermo-a", "trapani-b"}[i%4]
		s := &server{id: fmt.Sprintf("i-%d", i+1), service: "huvo11a", zone: zone, slots: 4, work: serverWork, downFor: serverDown, coldFor: 3 * time.Second}
		if err := d.addServer(s); err != nil {
			d.stop()
			return nil, err
		}
	}
	if err := d.addHosts(inZones...); err != nil {
		d.stop()
		return nil, err
	}
	if err := d.awaitAllReady(); err != nil {
		d.stop()
		return nil, err
	}
	return d, nil
}

// others sends ordinary requests of other consumers to hosts that are ready, until the returned
// function is called, which returns how many were lost: they ran, and a crash took the answer.
func (d *deployment) others(perSecond int) (stop func() int) {
	done := make(chan struct{})
	var tasks sync.WaitGroup
	var mu sync.Mutex
	var results []sent
	tasks.Go(func() {
		ticker := time.NewTicker(time.Second / time.Duration(perSecond))
		defer ticker.Stop()
		for i := 0; ; i++ {
			select {
			case <-done:
				return
			case <-ticker.C:
			}
			tasks.Go(func() {
				r := d.send(d.hosts[i%len(d.hosts)], "POST", certify+"run", fmt.Sprintf("certificate %d", i), deadline, 0)
				mu.Lock()
				defer mu.Unlock()
				results = append(results, r)
			})
		}
	})
	return func() int {
		close(done)
		tasks.Wait()
		ran := make(map[string]arrival)
		for _, a := range d.ledger.of(func(path string) bool { return path == certify+"run" }) {
			if a.ran {
				ran[a.id] = a
			}
		}
		lost, served := 0, 0
		for _, r := range results {
			switch a, found := ran[r.id]; {
			case r.status == 200:
				served++
			case found && !a.answered:
				lost++
				d.record.line("request %s of another consumer ran at %s, which crashed meanwhile; the consumer got status %d, %v", r.id, a.server, r.status, r.err)
			}
		}
		d.record.line("other consumers: %d requests, %d served, %d lost by a crash", len(results), served, lost)
		return lost
	}
}

// sendPoison sends the request that crashes servers and records what became of it.
func (d *deployment) sendPoison(h *host, leaves time.Duration) {
	started := time.Now()
	d.record.line("the request that crashes servers is sent to %s", h.name)
	r := d.send(h, "POST", poisonPath, poisonBody, deadline, leaves)
	if leaves > 0 && r.status == 0 {
		d.record.line("  %s: its consumer left after %.0f ms", r.id, time.Since(started).Seconds()*1000)
		return
	}
	d.record.line("  %s: status %d, %v, after %.0f ms", r.id, r.status, r.err, time.Since(started).Seconds()*1000)
}

// judgePoison applies the rule: a request that crashes the servers that run it reaches servers in
// at most three retries that were sent later than stabilityS after it has crashed the third.
func (d *deployment) judgePoison() bool {
	arrivals := d.ledger.of(func(path string) bool { return strings.Contains(path, "poison") })
	var third time.Time
	crashes, late := 0, 0
	for _, a := range arrivals {
		note := ""
		if !third.IsZero() && a.at.Sub(third) > stabilityS*time.Second {
			late++
			note = fmt.Sprintf(", retry %d later than %d s after the third crash", late, stabilityS)
		}
		if a.crashed {
			crashes++
			if crashes == 3 {
				third = a.crashedAt
			}
		}
		d.record.line("at %.3f the request reached %s as %s, ran: %v, crashed it: %v%s", d.record.at(a.at), a.server, a.id, a.ran, a.crashed, note)
	}
	d.record.line("the request reached servers %d times and crashed %d; %d retries later than %d s after the third crash, 3 are allowed", len(arrivals), crashes, late, stabilityS)
	return late <= 3
}

// poisonCallerLeaves: the request comes again and again, and each time its consumer leaves before
// the server has crashed.
func poisonCallerLeaves(o options) (bool, error) {
	d, err := startPoison(o, "catania-a", "messina-b", "palermo-a")
	if err != nil {
		return false, err
	}
	defer d.stop()
	time.Sleep((stabilityS + 1) * time.Second)
	stop := d.others(20)
	leaves := time.Duration(0)
	if o.trouble {
		leaves = leaveAfter
	}
	begin := time.Now()
	for i, at := range []time.Duration{0, 500, 1000, 4500, 5000, 5500, 6000, 6500} {
		time.Sleep(time.Until(begin.Add(at * time.Millisecond)))
		d.sendPoison(d.hosts[i%len(d.hosts)], leaves)
	}
	time.Sleep(2 * time.Second)
	stop()
	return d.judgePoison(), nil
}

// poisonRolling: the request has crashed two servers and is refused by all hosts. Then the hosts
// are stopped and started in turn, and the request comes again.
func poisonRolling(o options) (bool, error) {
	d, err := startPoison(o, "catania-a", "messina-b", "palermo-a", "trapani-b")
	if err != nil {
		return false, err
	}
	defer d.stop()
	time.Sleep((stabilityS + 1) * time.Second)
	stop := d.others(20)
	for _, h := range d.hosts {
		d.sendPoison(h, 0)
		time.Sleep(500 * time.Millisecond)
	}
	for _, h := range d.hosts {
		if o.trouble {
			if err := h.restart(); err != nil {
				return false, err
			}
			if err := h.awaitReady(10 * time.Second); err != nil {
				return false, err
			}
		}
		// The host is in touch once it has run for stabilityS.
		time.Sleep((stabilityS + 1) * time.Second)
		for range 2 {
			d.sendPoison(h, 0)
			time.Sleep(time.Second)
		}
	}
	stop()
	return d.judgePoison(), nil
}
