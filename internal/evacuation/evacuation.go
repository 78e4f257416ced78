// Package evacuation determines which availability zones are evacuated: those of the newest set
// that was read and, shortly after the platform's store has returned from a backup, those of the
// set before it.
package evacuation

import (
	"slices"
	"time"

	"github.com/bergamotgw/bergamotgw/internal/catalog"
)

// Retention is how long a zone that was evacuated before the store returned from a backup stays
// evacuated: the backup may lack the request, which the operator repeats within about 2 s.
const Retention = 2500 * time.Millisecond

// Zones holds the evacuated zones. The zero value has none. It is not safe for concurrent use.
type Zones struct {
	// set is the newest set that was passed to Update.
	set catalog.Evacuations
	// retained holds until when the zones stay evacuated that were before the epoch rose.
	retained map[string]time.Time
}

// Update replaces the set unless the given one is older. Several sets of the same position may
// differ, because balancers may have learnt of the return at different times: the last one counts.
func (z *Zones) Update(e catalog.Evacuations, now time.Time) {
	if !e.Known() || e.Before(z.set.Position) {
		return
	}
	if z.set.Known() && e.Epoch > z.set.Epoch {
		retained := make(map[string]time.Time)
		for _, zone := range z.All(now) {
			retained[zone] = now.Add(Retention)
		}
		z.retained = retained
	}
	z.set = e
}

// Newest returns the newest set that was passed to Update.
func (z *Zones) Newest() catalog.Evacuations {
	return z.set
}

// Has reports whether a zone is evacuated.
func (z *Zones) Has(zone string, now time.Time) bool {
	return z.set.Has(zone) || now.Before(z.retained[zone])
}

// All returns the evacuated zones in order of their names.
func (z *Zones) All(now time.Time) []string {
	list := slices.Clone(z.set.Zones)
	for zone := range z.retained {
		if z.Has(zone, now) {
			list = append(list, zone)
		}
	}
	slices.Sort(list)
	return slices.Compact(list)
}
