package directory

import (
	"slices"
	"time"

	"github.com/bergamotgw/bergamotgw/internal/catalog"
	"github.com/bergamotgw/bergamotgw/internal/steer"
)

// applyEvacuations replaces the set of evacuated zones in force unless e is not newer. age is the
// time since the platform was called for it, and from names its source in the log.
func (d *Directory) applyEvacuations(e catalog.Evacuations, age time.Duration, from string) {
	d.mu.Lock()
	before := d.catalog.Load()
	former := before.Servers.Evacuations
	if !former.Before(e.Position) {
		d.mu.Unlock()
		return
	}
	next := before.WithEvacuations(e)
	d.catalog.Store(next)
	d.evacuationsReadAt = d.config.Clock.Now().Add(-age)
	changed := !slices.Equal(former.Zones, e.Zones)
	if changed {
		d.sum = next.Servers.Sum()
		d.history.addServers(next.Servers, d.sum)
	}
	d.mu.Unlock()
	if changed {
		d.config.Log.Warn("evacuationChanged").Strs("zones", e.Zones).Strs("former", former.Zones).
			Uint64("revision", e.Revision).Uint64("epoch", e.Epoch).Str("source", from).Dur("age", age).Send()
	}
	if changed || !former.Known() || e.Epoch != former.Epoch {
		d.changed()
	}
}

// confirmEvacuations advances the position of the set in force to that of the sender of a digest,
// if the sender has the same servers and evacuated zones.
func (d *Directory) confirmEvacuations(f steer.Freshness, from string) {
	d.mu.Lock()
	e := d.catalog.Load().Servers.Evacuations
	confirmed := d.config.Evacuations && f.Revision > 0 && f.Sum == d.sum
	d.mu.Unlock()
	if confirmed {
		d.applyEvacuations(e.WithPosition(f.EvacuationsAt), f.Age, from)
	}
}

// unreadEvacuations reports whether the deployment has evacuations and no set was read yet.
func (d *Directory) unreadEvacuations() bool {
	return d.config.Evacuations && !d.catalog.Load().Servers.Evacuations.Known()
}

// lacksEvacuations reports whether the sender of a digest has a newer set of evacuated zones. The
// caller holds the lock.
func (d *Directory) lacksEvacuations(f steer.Freshness) bool {
	return d.config.Evacuations && d.catalog.Load().Servers.Evacuations.Before(f.EvacuationsAt)
}

// readsEvacuations reports whether a sender of digests reads the evacuated zones, if this
// deployment has them. Older programs do not, so no newer one waits for their readings.
func (d *Directory) readsEvacuations(f steer.Freshness) bool {
	return !d.config.Evacuations || f.EvacuationsAt != catalog.Evacuations{}.Position
}

// takeEvacuations applies the set that another directory has returned, by itself or with its
// servers, and removes it from them. Where the deployment has no evacuations, nobody would read
// that set again, so it is not applied.
func (d *Directory) takeEvacuations(r *catalogResult, waited time.Duration, from string) {
	var received catalog.Evacuations
	if r.Servers != nil {
		received, r.Servers.Evacuations = r.Servers.Evacuations, catalog.Evacuations{}
	}
	if r.Evacuations != nil {
		received = *r.Evacuations
	}
	if !d.config.Evacuations || !received.Known() {
		return
	}
	e, faults := catalog.NewEvacuations(received.Position, received.Zones)
	d.recordIgnored(faults, "evacuationsOfBalancer")
	d.applyEvacuations(e, fromMillis(r.EvacuationsAgeMillis)+waited, from)
}
