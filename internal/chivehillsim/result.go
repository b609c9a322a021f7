package chivehillsim

import "github.com/chivehill/chivehill/internal/chivehillid"

// Add returns the sum of two results, figure by figure.
func (r Result) Add(o Result) Result {
	o.P50Ms += r.P50Ms
	o.P99Ms += r.P99Ms
	o.P999Ms += r.P999Ms
	o.Good += r.Good
	o.Goodput += r.Goodput
	o.Remote += r.Remote
	o.Extra += r.Extra
	o.Shed += r.Shed
	o.Late += r.Late
	for t, n := range r.ByTenant {
		o.ByTenant[t] += n
	}
	return o
}

// Scale returns the result with each figure multiplied by f.
func (r Result) Scale(f float64) Result {
	r.P50Ms *= f
	r.P99Ms *= f
	r.P999Ms *= f
	r.Good *= f
	r.Goodput *= f
	r.Remote *= f
	r.Extra *= f
	r.Shed *= f
	scaled := make(map[chivehillid.TenantID]float64, len(r.ByTenant))
	for t, n := range r.ByTenant {
		scaled[t] = n * f
	}
	r.ByTenant = scaled
	return r
}

// SmallestTenant returns the share of calls answered in time of the worst
// served tenant that does not flood.
func (r Result) SmallestTenant() float64 {
	least := 1.0
	for t, share := range r.ByTenant {
		if t != floodTenant {
			least = min(least, share)
		}
	}
	return least
}
