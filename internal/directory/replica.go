package directory

import (
	"context"
	"net/netip"
	"slices"
	"time"

	"github.com/samber/lo"

	"github.com/bergamotgw/bergamotgw/internal/catalog"
	"github.com/bergamotgw/bergamotgw/internal/steer"
)

const (
	// replicasPerZone is how many agents of a zone keep the catalog: one may restart
	// together with the balancers.
	replicasPerZone = 2
	// replicaAfter is how long a balancer that starts waits for the platform and for
	// other balancers, whose catalogs are newer, before it takes that of a replica.
	replicaAfter = 400 * time.Millisecond
	// replicaInterval is the pause before each fetch of a replica, so that balancers
	// are left alone while many things change, as after a loss of power.
	replicaInterval = 2 * time.Second
)

// replicas returns the agents that this balancer keeps up to date: the same for all
// balancers of the zone. Others come first when it has just started.
func (d *Directory) replicas() []netip.AddrPort {
	if d.config.Replica || d.config.ReplicaPort == 0 || d.config.Clock.Since(d.started) < replicaInterval {
		return nil
	}
	near := lo.Filter(d.catalog.Load().Servers.List, func(v catalog.Server, _ int) bool {
		return v.Zone == d.config.Zone && v.State == catalog.Ready
	})
	slices.SortFunc(near, func(a, b catalog.Server) int { return a.Address.Compare(b.Address) })
	addresses := lo.Uniq(lo.Map(near, func(v catalog.Server, _ int) netip.AddrPort {
		return netip.AddrPortFrom(v.Address, d.config.ReplicaPort)
	}))
	return addresses[:min(len(addresses), replicasPerZone)]
}

// handleReplica takes the catalog of a replica if this balancer has started and
// could learn of nothing else. The catalog may be old, so it comes last.
func (d *Directory) handleReplica(ctx context.Context, f steer.Freshness, from netip.AddrPort) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.config.Replica || d.config.Clock.Since(d.started) < replicaAfter {
		return
	}
	empty := !d.catalog.Load().Complete() && f.ConfigVersion > 0 && f.Revision > 0
	if empty || f.Corroborated && !d.knows() {
		d.startFetch(ctx, from, d.config.ReplicaPort)
	}
}

// tells reports whether a directory sends digests to a balancer that was last heard
// at the given time. Balancers tell all they know; replicas only those that are
// silent, as they may have restarted.
func (d *Directory) tells(heard, now time.Time) bool {
	return !d.config.Replica || now.Sub(heard) > d.pace(memberTimeout)
}

// mayFetch reports whether the directory may fetch what another has newer, and notes
// that a replica does. The caller holds the lock.
func (d *Directory) mayFetch(now time.Time) bool {
	if !d.config.Replica {
		return true
	}
	if now.Sub(d.fetchedAt) < replicaInterval {
		return false
	}
	d.fetchedAt = now
	return true
}
