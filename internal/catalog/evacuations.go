package catalog

import (
	"slices"

	"github.com/ansel1/merry/v2"

	"github.com/bergamotgw/bergamotgw/internal/position"
)

// MaxEvacuatedZones is the largest number of evacuated zones that is kept. It is far above the
// number of zones of a deployment, and bounds what other writers can add to each exchange.
const MaxEvacuatedZones = 256

// Evacuations is the set of evacuated availability zones as read from the platform at one time. It
// is immutable.
type Evacuations struct {
	// Position is the state of the platform at the reading; zero if there was none.
	position.Position
	// Zones is sorted and holds each zone once.
	Zones []string `json:"zones,omitempty"`
}

// NewEvacuations returns the set of the given zones as read at a position. faults holds an error
// for each zone that cannot be one, and one for all zones above MaxEvacuatedZones.
func NewEvacuations(at position.Position, zones []string) (e Evacuations, faults []error) {
	e.Position = at
	for _, zone := range zones {
		if zone == "" || len(zone) > MaxNameLen {
			faults = append(faults, merry.Errorf("evacuated zone %.32q: %d bytes, want 1 to %d", zone, len(zone), MaxNameLen))
			continue
		}
		e.Zones = append(e.Zones, zone)
	}
	slices.Sort(e.Zones)
	e.Zones = slices.Compact(e.Zones)
	if n := len(e.Zones); n > MaxEvacuatedZones {
		faults = append(faults, merry.Errorf("%d evacuated zones, at most %d allowed", n, MaxEvacuatedZones))
		e.Zones = e.Zones[:MaxEvacuatedZones]
	}
	return e, faults
}

// WithPosition returns the same set as read at another position.
func (e Evacuations) WithPosition(at position.Position) Evacuations {
	e.Position = at
	return e
}

// Known reports whether the set was ever read.
func (e Evacuations) Known() bool {
	return e.Position != position.Position{}
}

// Has reports whether a zone is in the set.
func (e Evacuations) Has(zone string) bool {
	_, found := slices.BinarySearch(e.Zones, zone)
	return found
}

// WithEvacuations returns the same list with another set of evacuated zones, or s itself if that
// set is older.
func (s Servers) WithEvacuations(e Evacuations) Servers {
	if !e.Before(s.Evacuations.Position) {
		s.Evacuations = e
	}
	return s
}

// WithEvacuations returns a copy with the given set of evacuated zones, or c itself if it is older.
func (c *Catalog) WithEvacuations(e Evacuations) *Catalog {
	if e.Before(c.Servers.Evacuations.Position) {
		return c
	}
	next := *c
	next.Servers.Evacuations = e
	return &next
}

// Operator is what the operator has written to the platform, as read at one time.
type Operator struct {
	// Routes is the config; its version is 0 if it could not be read.
	Routes Routes
	// Evacuations is the set of evacuated zones; it is known only where the deployment has
	// evacuations.
	Evacuations Evacuations
	// Faults holds an error for each key that could not be used.
	Faults []error
}
