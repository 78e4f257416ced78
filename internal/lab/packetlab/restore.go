package packetlab

import (
	"maps"
	"time"

	"github.com/samber/lo"

	"github.com/bergamotgw/bergamotgw/internal/catalog"
	"github.com/bergamotgw/bergamotgw/platform/standin"
)

// Timing of a return of the platform from a backup.
const (
	// backupInterval is the interval at which the platform takes backups.
	backupInterval = 500 * time.Millisecond
	// maxBackups is how many backups the platform keeps.
	maxBackups = 32
	// rewriteDelay is how long after a return the operator and the servers write again what
	// the platform has lost.
	rewriteDelay = 800 * time.Millisecond
	// requestRewriteDelay is how long after a return the operator repeats requests to evacuate.
	requestRewriteDelay = 2 * time.Second
)

// backup is the content of the platform at one time.
type backup struct {
	takenAt  time.Time
	revision uint64
	routes   catalog.Routes
	servers  map[string]catalog.Server
	// evacuated is never modified.
	evacuated map[string]bool
	// store is the content of the stand-in that real processes read.
	store standin.Backup
}

// TakeBackups makes the platform take backups from now on, of which RestorePlatform needs one.
func (l *Lab) TakeBackups() {
	p := &l.platform
	b := backup{takenAt: l.clock.Now(), revision: p.at.Revision, routes: p.routes, servers: maps.Clone(p.servers), evacuated: p.evacuated}
	if l.real != nil {
		b.store = l.real.store.Backup()
	}
	p.backups = lo.Subset(append(p.backups, b), -maxBackups, maxBackups)
	l.after(backupInterval, l.TakeBackups)
}

// RestorePlatform makes the platform unreachable for the given time. It returns in the next
// epoch with the latest backup that is at least age old. The operator and the running servers
// then write again what was lost; entries of servers that have stopped expire.
func (l *Lab) RestorePlatform(d, age time.Duration) {
	p := &l.platform
	p.down, p.downSince = true, l.clock.Now()
	at := l.clock.Now().Add(-age)
	b, _, found := lo.FindLastIndexOf(p.backups, func(b backup) bool { return !b.takenAt.After(at) })
	if !found {
		b = p.backups[0]
	}
	if l.real != nil {
		l.real.store.SetMode(standin.Reset)
	}
	l.after(d, func() {
		p.down, p.restoredAt, p.returnedAt = false, l.clock.Now(), l.clock.Now()
		p.at.Epoch++
		p.at.Revision, p.routes, p.servers, p.evacuated = b.revision, b.routes, maps.Clone(b.servers), b.evacuated
		l.delayRequests(p.downSince)
		if l.real != nil {
			l.real.store.Restore(b.store)
			l.real.store.SetMode(standin.Up)
		}
		epoch := p.at.Epoch
		l.after(rewriteDelay, func() { l.rewrite(epoch) })
		l.after(requestRewriteDelay, func() { l.rewriteRequests(epoch) })
		l.after(expireAfter, func() { l.expireStopped(epoch) })
	})
}

// rewrite publishes what the platform lacks in the given epoch: the newest routes, and the
// entries of running servers.
func (l *Lab) rewrite(epoch uint64) {
	p := &l.platform
	if p.at.Epoch != epoch {
		return
	}
	if p.newest.Version > p.routes.Version {
		l.publish(p.newest)
	}
	for _, s := range l.servers {
		if listed, ok := p.servers[s.entryID()]; s.up && s.alive && (!ok || listed.State != s.state) {
			p.register(s)
		}
	}
}

// expireStopped removes the entries of servers that do not run, in the given epoch.
func (l *Lab) expireStopped(epoch uint64) {
	p := &l.platform
	running := lo.SliceToMap(l.servers, func(s *serverVM) (string, bool) { return s.entryID(), s.up && s.alive })
	for id := range p.servers {
		if p.at.Epoch == epoch && !running[id] {
			p.remove(l, id)
		}
	}
}
