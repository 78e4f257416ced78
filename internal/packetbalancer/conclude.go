package packetbalancer

import (
	"time"

	"github.com/bergamotgw/bergamotgw/internal/absence"
	"github.com/bergamotgw/bergamotgw/internal/packet"
)

// commonEvidence returns the evidence that is the same for all flows.
func (b *Balancer) commonEvidence(now time.Time) absence.Evidence {
	corroborated, noCorroboratedPeer, readAt := b.config.Corroborated(), b.config.NoCorroboratedPeer(), b.config.ReadAt()
	b.mu.Lock()
	defer b.mu.Unlock()
	b.selection.RecordRead(readAt)
	return absence.Evidence{
		ListReadAt:    readAt,
		ListConfirmed: corroborated || noCorroboratedPeer && b.selection.AllRecentlyStarted(),
		Interrupted:   b.selection.Interrupted(),
		SilentMayHold: b.selection.SilentMayHold(now),
	}
}

// evidence returns the evidence about a flow that is searched. The caller holds the lock.
func (b *Balancer) evidence(f *searchedFlow, common absence.Evidence, now time.Time) absence.Evidence {
	e := common
	e.OpenSince = f.openSince
	e.AllDenied = b.denied(f, now)
	return e
}

// resolve resets a flow that is searched if the evidence proves that no server holds it. In any
// doubt it does nothing: maintainSearches resolves the flow again.
func (b *Balancer) resolve(flow packet.Flow) {
	now := b.config.Clock.Now()
	common := b.commonEvidence(now)
	b.mu.Lock()
	f := b.queries.byFlow[flow]
	if f == nil || f.searching {
		b.mu.Unlock()
		return
	}
	e := b.evidence(f, common, now)
	proved := b.judge(f, e)
	b.mu.Unlock()
	if proved {
		b.resetNotHeld(f, e)
	}
}

// judge reports whether the evidence proves that no server holds a flow, and then ends its
// search. Otherwise it logs the doubt, once in a row. The caller holds the lock.
func (b *Balancer) judge(f *searchedFlow, e absence.Evidence) bool {
	doubt := e.Doubt()
	if doubt == absence.None {
		delete(b.queries.byFlow, f.flow)
		return true
	}
	if doubt != f.doubt {
		f.doubt = doubt
		b.counts.Inconclusive.Add(1)
		b.config.Log.Info("searchInconclusive").Stringer("flow", f.flow).Str("doubt", string(doubt)).
			Time("openSince", e.OpenSince).Time("listReadAt", e.ListReadAt).Send()
	}
	return false
}

// resetNotHeld resets a flow that no server holds, unless it was found in the meantime.
func (b *Balancer) resetNotHeld(f *searchedFlow, e absence.Evidence) {
	if entry, known := b.cache.Get(f.flow); known && entry.agent.IsValid() {
		return
	}
	b.counts.Reset.Add(1)
	b.config.Log.Info("flowReset").Stringer("flow", f.flow).Str("reason", "notHeldAnywhere").Uint8("attempt", f.envelope.Attempt).
		Time("openSince", e.OpenSince).Time("listReadAt", e.ListReadAt).Time("deniedAt", f.denied.at).Send()
	b.reset(f.flow, f.packet.AckSeq)
}
