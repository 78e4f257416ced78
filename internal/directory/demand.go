package directory

import (
	"context"
	"net/netip"
	"slices"
	"time"

	"github.com/samber/lo"

	"github.com/bergamotgw/bergamotgw/internal/ondemand"
	"github.com/bergamotgw/bergamotgw/internal/steer"
)

// maxRequests is the largest number of balancers whose requests for a reading wait.
const maxRequests = 4096

// demand is the state of readings out of turn.
type demand struct {
	reader    ondemand.Reader
	requester ondemand.Requester
	// waiting holds the latest request of each balancer for a reading that has not begun; own is
	// true if this balancer needs one itself.
	waiting map[netip.AddrPort]uint32
	own     bool
	// wake is signalled when a request arrives.
	wake chan struct{}
}

func newDemand() demand {
	return demand{waiting: make(map[netip.AddrPort]uint32), wake: make(chan struct{}, 1)}
}

// requested reports whether a reading is waited for.
func (r *demand) requested() bool {
	return r.own || len(r.waiting) > 0
}

// RequestReading requests a reading of the platform that begins after this call: from the first
// of the readers or, if that has not answered, from the next one. Requests are limited, so the
// caller repeats the call as long as it needs a reading.
func (d *Directory) RequestReading() {
	d.mu.Lock()
	due := d.demand.requester.Due(1, d.config.Clock.Now())
	d.mu.Unlock()
	if !due {
		// Most calls end here: after a loss of power, each searched flow makes some.
		return
	}
	order, peers := d.readers(), d.Peers()
	d.mu.Lock()
	index, number, ok := d.demand.requester.Next(len(order), peers+1, d.config.Clock.Now())
	if !ok || !d.catalog.Load().Complete() {
		d.mu.Unlock()
		return
	}
	to := order[index]
	if to == d.config.Self {
		d.demand.own = true
	}
	d.mu.Unlock()
	d.counts.ReadingsRequested.Add(1)
	if to == d.config.Self {
		d.wakeReader()
		return
	}
	var b [steer.ReadingRequestLen]byte
	steer.PutReadingRequest(b[:], number)
	d.config.Send(b[:], to)
}

// readers returns the balancers that read the platform, in their order, with this one among them.
func (d *Directory) readers() []netip.AddrPort {
	order := append(lo.Keys(d.liveThat(member.reads)), d.config.Self)
	slices.SortFunc(order, netip.AddrPort.Compare)
	return order
}

// HandleDatagram handles a digest, a request for a reading or a confirmation of one that another
// directory has sent.
func (d *Directory) HandleDatagram(ctx context.Context, raw []byte, from netip.AddrPort) {
	switch kind, _ := steer.KindOf(raw); kind {
	case steer.ReadingRequest:
		d.handleReadingRequest(raw, from)
	case steer.ReadingDone:
		d.handleReading(ctx, raw, from)
	default:
		d.HandleDigest(ctx, raw, from)
	}
}

// handleReadingRequest records the request of another balancer.
func (d *Directory) handleReadingRequest(raw []byte, from netip.AddrPort) {
	number, ok := steer.ParseReadingRequest(raw)
	if !ok || d.config.Replica {
		return
	}
	d.mu.Lock()
	if _, known := d.demand.waiting[from]; known || len(d.demand.waiting) < maxRequests {
		d.demand.waiting[from] = number
	}
	d.mu.Unlock()
	d.wakeReader()
}

func (d *Directory) wakeReader() {
	select {
	case d.demand.wake <- struct{}{}:
	default:
	}
}

// sleepUntilRequested sleeps for a pause, or until a reading is requested.
func (d *Directory) sleepUntilRequested(ctx context.Context, pause time.Duration) {
	select {
	case <-ctx.Done():
	case <-d.demand.wake:
	case <-d.config.Clock.After(pause):
	}
}

// takeRequests returns the requests that a reading answers which begins now.
func (d *Directory) takeRequests() (waiting map[netip.AddrPort]uint32, own bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if !d.demand.requested() {
		return nil, false
	}
	d.demand.reader.Record(d.config.Clock.Now())
	waiting, own = d.demand.waiting, d.demand.own
	d.demand.waiting, d.demand.own = make(map[netip.AddrPort]uint32), false
	d.counts.ReadingsOnDemand.Add(1)
	return waiting, own
}

// confirmReading tells the balancers that have requested a reading what it has shown.
func (d *Directory) confirmReading(waiting map[netip.AddrPort]uint32) {
	d.mu.Lock()
	c := d.catalog.Load()
	r := steer.Reading{Position: c.Servers.Position, Sum: d.sum, RoutesVersion: c.Routes.Version}
	d.mu.Unlock()
	var b [steer.ReadingLen]byte
	for to, number := range waiting {
		r.Number = number
		r.Put(b[:])
		d.config.Send(b[:], to)
	}
}

// handleReading applies the answer to a request: if it shows the catalog in force, that is as recent
// as the request was, without an estimate of clocks or delays. Else the sender has a newer catalog.
func (d *Directory) handleReading(ctx context.Context, raw []byte, from netip.AddrPort) {
	r, ok := steer.ParseReading(raw)
	if !ok {
		return
	}
	d.mu.Lock()
	sentAt, ok := d.demand.requester.Answered(r.Number)
	same := ok && d.shows(steer.Freshness{RoutesVersion: r.RoutesVersion, Position: r.Position, Sum: r.Sum})
	if same {
		d.recordProved(sentAt)
	} else if ok {
		d.startFetch(ctx, from, d.config.PeerPort)
	}
	d.mu.Unlock()
	if same {
		d.config.Confirmed()
	}
}

// recordProved records that the catalog in force was read after a time of this balancer's own clock.
// The caller holds the lock.
func (d *Directory) recordProved(at time.Time) {
	if !at.After(d.provedAt) {
		return
	}
	gap := at.Sub(d.provedAt) > d.pace(readInterval+rankStep+proofDelay)
	if gap && !d.provedAt.IsZero() && !d.corroboratedLocked() {
		d.readableSince = at
	}
	d.provedAt, d.limitLogged = at, false
	d.routes.Confirm(at)
	d.advanceReading(at)
	d.recordPassed()
}

// ReadSince returns the latest time of this balancer's own clock after which the routes and servers
// that were last passed to Changed were read from the platform for certain; zero if there is none.
func (d *Directory) ReadSince() time.Time {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.passedProvedAt
}
