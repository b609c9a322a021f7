//go:build review

package main

import (
	"encoding/json"
	"fmt"
	"net/http"
	"net/url"
	"slices"
	"sync"
	"time"
)

const (
	// consumers is how many consumers of a zone ask the directory anew each time that the answer
	// that they have ends.
	consumers = 40
	// lostFor is how long a machine has to be lost before an answer must not name it.
	lostFor = (stabilityS + 3) * time.Second
)

// resolve asks a host which hosts to use and returns their addresses.
func (h *host) resolve(zone string) (addresses []string, ttl time.Duration, err error) {
	query := url.Values{"name": {hostname}, "region": {zones[zone]}, "zone": {zone}}
	client := http.Client{Timeout: time.Second}
	resp, err := client.Get("http://" + h.directory + "/v1/resolve?" + query.Encode())
	if err != nil {
		return nil, 0, err
	}
	defer func() { _ = resp.Body.Close() }()
	var answer struct {
		Addresses []string `json:"addresses"`
		TTLS      float64  `json:"ttlS"`
	}
	if resp.StatusCode != http.StatusOK {
		return nil, 0, fmt.Errorf("status %d", resp.StatusCode)
	}
	err = json.NewDecoder(resp.Body).Decode(&answer)
	return answer.Addresses, time.Duration(answer.TTLS * float64(time.Second)), err
}

// directoryAfterRestart: a machine is lost for good. Later, two other hosts of its zone are
// killed and start again, and consumers of the zone go on asking which hosts to use.
func directoryAfterRestart(o options) (bool, error) {
	d, err := newDeployment(o.record)
	if err != nil {
		return false, err
	}
	defer d.stop()
	d.configure(7, []string{"huvo11a"}, []route{{name: "r-n73hh2b", prefix: certify, kind: "unsafe", service: "huvo11a", timeoutS: 1.2, aimS: 0.5, maxAttempts: 2}})
	for i, zone := range []string{"catania-a", "messina-b", "palermo-a", "trapani-b"} {
		if err := d.addServer(&server{id: fmt.Sprintf("i-%d", i+1), service: "huvo11a", zone: zone, slots: 4, work: 20 * time.Millisecond}); err != nil {
			return false, err
		}
	}
	if err := d.addHosts("catania-a", "catania-a", "catania-a", "catania-a", "catania-a", "messina-b", "palermo-a"); err != nil {
		return false, err
	}
	if err := d.awaitAllReady(); err != nil {
		return false, err
	}
	time.Sleep((stabilityS + 1) * time.Second)
	// Two other hosts of the zone are killed, one after the other.
	lost, running, rolled := d.hosts[0], d.hosts[1:5], []*host{d.hosts[4], d.hosts[3]}
	var mu sync.Mutex
	// disturbedUntil is when each host is in touch again.
	disturbedUntil := make(map[string]time.Time)
	lost.kill()
	lostAt := time.Now()
	d.record.line("machine %s at %s is lost for good", lost.name, lost.caller)
	done := make(chan struct{})
	var asking sync.WaitGroup
	wrong, asked := 0, 0
	ask := func(h *host) time.Duration {
		addresses, ttl, err := h.resolve(lost.zone)
		now := time.Now()
		mu.Lock()
		defer mu.Unlock()
		if err != nil {
			return 200 * time.Millisecond
		}
		asked++
		named := slices.Contains(addresses, lost.caller) && len(addresses) > 1
		if !named || now.Sub(lostAt) <= lostFor {
			return ttl
		}
		inTouch := now.After(disturbedUntil[h.name])
		d.record.line("%s, in touch: %v, names %s, lost for %.1f s", h.name, inTouch, lost.name, now.Sub(lostAt).Seconds())
		if inTouch {
			wrong++
		}
		return ttl
	}
	for i := range consumers {
		asking.Go(func() {
			wait := time.Duration(i) * 2 * time.Second / consumers
			for n := i; ; n++ {
				select {
				case <-done:
					return
				case <-time.After(wait):
				}
				wait = ask(running[n%len(running)])
			}
		})
	}
	time.Sleep(lostFor + time.Second)
	d.record.line("%d answers so far", asked)
	for _, h := range rolled {
		if o.trouble {
			mu.Lock()
			disturbedUntil[h.name] = time.Now().Add(time.Minute)
			mu.Unlock()
			if err := h.crash(); err != nil {
				return false, err
			}
			mu.Lock()
			disturbedUntil[h.name] = time.Now().Add(stabilityS * time.Second)
			mu.Unlock()
		}
		time.Sleep(4 * time.Second)
	}
	close(done)
	asking.Wait()
	d.record.line("%d answers, %d of machines in touch name the lost machine more than %.0f s after it was lost; 3 are allowed", asked, wrong, lostFor.Seconds())
	return wrong <= 3, nil
}
