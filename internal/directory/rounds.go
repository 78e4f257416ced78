package directory

import (
	"net/netip"
	"slices"
	"time"

	"github.com/samber/lo"

	"github.com/bergamotgw/bergamotgw/internal/steer"
)

func (d *Directory) sendDigests() {
	targets := append(d.targets(), d.replicas()...)
	d.sendRound(targets, d.provers(targets))
}

func (d *Directory) sendDigestTo(targets ...netip.AddrPort) {
	d.sendRound(targets, nil)
}

// sendRound sends a round of digests. Those in asked are requested to answer at once.
func (d *Directory) sendRound(targets, asked []netip.AddrPort) {
	// The ages are computed after the numbers are taken that the digests return, else they would be
	// those of an earlier time if this process stood still in between.
	number, echoes := d.beginRound(targets)
	f := d.freshness()
	f.Number = number
	if f.Revision == 0 {
		f.Age = memberRetention
	}
	named := d.named()
	var b [steer.DigestMaxLen]byte
	for i, t := range targets {
		f.Echo, f.ReplyRequested = echoes[i], slices.Contains(asked, t)
		d.config.Send(b[:steer.PutDigest(b[:], f, named)], t)
	}
}

// beginRound returns the number of a round that begins now, and the latest number received from each
// target.
func (d *Directory) beginRound(targets []netip.AddrPort) (number uint16, echoes []uint16) {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.rounds.Begin(d.config.Clock.Now()), lo.Map(targets, func(t netip.AddrPort, _ int) uint16 { return d.members[t].number })
}

// provers returns those of the targets of a round that are requested to prove a reading: some that have
// the youngest proofs themselves, if that of this directory is too old. In a large fleet, digests that
// return a recent number of this directory are rare.
func (d *Directory) provers(targets []netip.AddrPort) []netip.AddrPort {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.config.Replica || d.config.Clock.Since(d.provedAt) <= d.pace(readInterval+digestInterval) {
		return nil
	}
	younger := lo.Filter(targets, func(t netip.AddrPort, _ int) bool { return d.members[t].provedAt.After(d.provedAt) })
	slices.SortFunc(younger, func(a, b netip.AddrPort) int { return d.members[b].provedAt.Compare(d.members[a].provedAt) })
	return younger[:min(len(younger), proversPerRound)]
}

// provedAt returns the time after which the sender of a digest has read its catalog for certain, as far as
// the digest shows that arrives now; zero if it states none.
func provedAt(f steer.Freshness, now time.Time) time.Time {
	if !f.Proved {
		return time.Time{}
	}
	return now.Add(-f.ProvedAge)
}

// targets returns the balancers that receive a round of digests: all of them, or a random
// sample. It drops balancers that have been silent for memberRetention, or have left.
func (d *Directory) targets() []netip.AddrPort {
	now := d.config.Clock.Now()
	d.mu.Lock()
	defer d.mu.Unlock()
	for a, m := range d.members {
		silent := now.Sub(m.lastReceived)
		if !m.lastReceived.IsZero() && (silent > memberRetention || m.leaving && silent > d.pace(memberTimeout)) {
			delete(d.members, a)
		}
	}
	all := lo.Keys(lo.PickBy(d.members, func(_ netip.AddrPort, m member) bool { return d.sendsDigestTo(m.lastReceived, now) }))
	if len(all) > maxDigests {
		return lo.Samples(all, maxDigests)
	}
	return all
}
