package batch

import "slices"

// Evacuation is the operator's request that the VMs of an availability zone get no new work
// until it is withdrawn.
type Evacuation struct {
	Zone string
	// Revision is the store revision of the request.
	Revision int64
}

// Evacuations are the requests in force at a revision of the store. They are immutable.
type Evacuations struct {
	// Revision is the store revision up to which all changes are included; 0 if unknown.
	Revision int64
	// Zones are in the order of their names, one request each.
	Zones []Evacuation
}

// Of returns the request for a zone; ok is false if there is none.
func (e *Evacuations) Of(zone string) (evacuation Evacuation, ok bool) {
	i := slices.IndexFunc(e.Zones, func(z Evacuation) bool { return z.Zone == zone })
	if i < 0 {
		return evacuation, false
	}
	return e.Zones[i], true
}
