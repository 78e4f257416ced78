package bergamotgw

import (
	"slices"
	"time"

	"github.com/rs/zerolog"

	"github.com/bergamotgw/bergamotgw/internal/ledger"
)

// evacuationLog logs which zones of a service are evacuated, after every change.
type evacuationLog struct {
	// zones holds the evacuated zones of each service, as last logged.
	zones map[string][]string
}

// record logs the services whose evacuated zones have changed. left is the number of endpoints
// outside these zones; if it is 0, all new flows of the service are refused.
func (e *evacuationLog) record(log zerolog.Logger, sections []ledger.InForce, now time.Time) {
	next := make(map[string][]string)
	for _, in := range sections {
		s := in.Value.Section
		if len(s.Evacuate) > 0 {
			next[s.Service] = s.Evacuate
		}
		if !slices.Equal(s.Evacuate, e.zones[s.Service]) {
			log.Info().Str("event", "evacuationChanged").Str("service", s.Service).Strs("zones", s.Evacuate).
				Uint64("revision", s.Revision).Dur("inForceFor", now.Sub(in.Since)).
				Int("evacuated", s.Evacuated()).Int("left", len(s.Endpoints)-s.Evacuated()).Send()
		}
	}
	e.zones = next
}
