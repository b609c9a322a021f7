package chivehillselector

// besideShare is the share of a spread that lies in other failure domains of the region.
const besideShare = 1.0 / 3

// Spread returns up to limit eligible servers of this region in the order in which to probe
// them: by distance, then by known load. The last third lies outside this failure domain if
// there are such servers, so that a busy failure domain uses the room of the others however
// many servers it has.
func (t *Table) Spread(requirements Requirements, limit int) []Candidate {
	beside := t.pick(requirements, int(float64(limit)*besideShare+0.5), SameRegion)
	own := t.pick(requirements, limit-len(beside), SameDomain)
	if missing := limit - len(own) - len(beside); missing > 0 {
		beside = t.pick(requirements, limit-len(own), SameRegion)
	}
	return append(own, beside...)
}
