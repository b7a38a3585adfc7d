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

// Changes compares with the requests in force before: begun are new or repeated, ended are
// withdrawn.
func (e *Evacuations) Changes(before *Evacuations) (begun, ended []Evacuation) {
	for _, z := range e.Zones {
		if old, ok := before.Of(z.Zone); !ok || old.Revision != z.Revision {
			begun = append(begun, z)
		}
	}
	for _, z := range before.Zones {
		if _, ok := e.Of(z.Zone); !ok {
			ended = append(ended, z)
		}
	}
	return begun, ended
}
