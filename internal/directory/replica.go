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
	// replicasPerZone is how many agents of a zone keep a replica: with 2, one may restart
	// together with the balancers.
	replicasPerZone = 2
	// replicaDelay is how long a starting balancer waits for the platform and for other
	// balancers, whose catalogs are newer, before it fetches that of a replica.
	replicaDelay = 400 * time.Millisecond
	// replicaInterval is the least time between fetches by a replica, which limits the load
	// on balancers while many entries change, as after a loss of power.
	replicaInterval = 2 * time.Second
)

// replicas returns the agents to which this balancer sends digests, so that they keep
// replicas: the same for all balancers of the zone. Entries of services that no route names are
// of other writers, with no agent at their address. There are none within replicaInterval
// of the start, because other balancers come first.
func (d *Directory) replicas() []netip.AddrPort {
	if d.config.Replica || d.config.ReplicaPort == 0 || d.config.Clock.Since(d.started) < replicaInterval {
		return nil
	}
	c := d.catalog.Load()
	near := lo.Filter(c.Servers.List, func(v catalog.Server, _ int) bool {
		return v.Zone == d.config.Zone && v.State == catalog.Ready && c.Named(v.Service)
	})
	slices.SortFunc(near, func(a, b catalog.Server) int { return a.Address.Compare(b.Address) })
	addresses := lo.Uniq(lo.Map(near, func(v catalog.Server, _ int) netip.AddrPort {
		return netip.AddrPortFrom(v.Address, d.config.ReplicaPort)
	}))
	return addresses[:min(len(addresses), replicasPerZone)]
}

// handleReplica fetches the catalog of a replica if replicaDelay has passed since the
// start and neither the platform nor another balancer has provided a complete one, or if the
// replica has newer evacuations. A replica is the last choice because its catalog may be old.
func (d *Directory) handleReplica(ctx context.Context, f steer.Freshness, from netip.AddrPort) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.config.Replica || d.config.Clock.Since(d.started) < replicaDelay {
		return
	}
	empty := !d.catalog.Load().Complete() && f.RoutesVersion > 0 && f.Revision > 0
	if empty || f.Corroborated && !d.corroboratedLocked() || d.lacksEvacuations(f) {
		d.startFetch(ctx, from, d.config.ReplicaPort)
	}
}

// sendsDigestTo reports whether a digest is sent to a balancer whose latest digest arrived
// at the given time. Balancers send to all other balancers; replicas only to those that
// are silent, because they may have restarted.
func (d *Directory) sendsDigestTo(lastReceived, now time.Time) bool {
	return !d.config.Replica || now.Sub(lastReceived) > d.pace(memberTimeout)
}

// mayFetch reports whether the directory may fetch a newer catalog now. For a replica it
// records the fetch. The caller holds the lock.
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
