package directory

import (
	"net/netip"

	"github.com/bergamotgw/bergamotgw/internal/steer"
)

// skippedRoutes reports whether the sender of a digest has had a version of the routes in force whose
// services this directory does not know.
func (d *Directory) skippedRoutes(f steer.Freshness, from netip.AddrPort) bool {
	now := d.config.Clock.Now()
	skipped := false
	for _, version := range []uint64{f.FormerVersion, f.RoutesVersion} {
		unknown, first := d.routes.RecordNamed(version, now)
		if first {
			d.counts.SkippedRoutes.Add(1)
			d.config.Log.Info("routesSkipped").Uint64("version", version).Stringer("source", from).Send()
		}
		skipped = skipped || unknown
	}
	return skipped
}
