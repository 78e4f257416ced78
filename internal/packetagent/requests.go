package packetagent

import (
	"time"

	"github.com/rs/zerolog"

	"github.com/bergamotgw/bergamotgw/internal/dispatch"
	"github.com/bergamotgw/bergamotgw/internal/flowtable"
	"github.com/bergamotgw/bergamotgw/internal/httphead"
	"github.com/bergamotgw/bergamotgw/internal/packet"
	"github.com/bergamotgw/bergamotgw/internal/steer"
)

// Parameters of the dispatch to the server.
const (
	// ahead is how many requests more than its slots the server gets, so that a
	// slot never waits for the agent.
	ahead = 1
	// defaultSlots is used until a balancer told the number.
	defaultSlots = 2
	// expectedFor is how long an admitted flow counts as a request that will come:
	// a few round trips to a caller.
	expectedFor = 100 * time.Millisecond
	// overdueFactor times the service time, but at least minOverdue, is how long a
	// request holds its place at the server; later its answer is not expected.
	overdueFactor = 8
	minOverdue    = 600 * time.Millisecond
)

// slotCount returns the slots of the server.
func (a *Agent) slotCount() int {
	if a.slots == 0 {
		return defaultSlots
	}
	return a.slots
}

// server returns what the order of held requests depends on.
func (a *Agent) server() dispatch.Server {
	return dispatch.Server{ServiceTime: a.service.Mean(), Slots: a.slotCount()}
}

// outstanding counts the requests that go before one that arrives now: those that
// are expected, those that run, and those held that can still be answered in time.
func (a *Agent) outstanding(now time.Time) int {
	return a.expectedCount(now) + a.queue.Timely(now, a.server()) + len(a.running)
}

// expectedCount returns how many flows were just admitted, so that their first request
// will come.
func (a *Agent) expectedCount(now time.Time) int {
	for f, at := range a.expected {
		if now.Sub(at) > expectedFor {
			delete(a.expected, f)
		}
	}
	return len(a.expected)
}

// delay returns the expected wait of a further request, and whether a new flow
// may be admitted without asking other candidates.
func (a *Agent) delay(now time.Time) (time.Duration, bool) {
	if a.leaving || a.silent(now) {
		return silentDelay, false
	}
	slots := a.slotCount()
	over := a.outstanding(now) + 1 - slots
	if over <= 0 {
		return 0, true
	}
	return time.Duration(over) * a.service.Mean() / time.Duration(slots), over <= ahead
}

// deliverPacket gives a packet of an open flow to the server, or holds it if it
// begins a request and the server has enough.
func (a *Agent) deliverPacket(e *steer.Envelope, entry *flowtable.Entry, p packet.Packet, rest []byte, now time.Time) {
	starts := entry.StartsRequest(p)
	if len(p.Data) > 0 && (starts || entry.RequestID == "") {
		entry.RequestID = httphead.RequestID(p.Data, a.idField)
	}
	if entry.Held && len(p.Data) > 0 {
		a.queue.Add(entry.Flow, p, rest)
		return
	}
	if starts {
		delete(a.expected, entry.Flow)
		a.rate.add(now)
		sent := entry.RequestSentAt(now)
		entry.Requests++
		if len(a.running) >= a.slotCount()+ahead && a.hold(entry, p, rest, sent) {
			return
		}
		a.run(entry, sent, now)
	}
	entry.RecordCallerPacket(p, now)
	if p.Reset || p.Fin && entry.Held {
		a.logAbandoned(entry, now)
		a.cancel(entry)
	}
	a.deliver(e, p, rest, now)
}

// hold keeps a request until the server has room.
func (a *Agent) hold(entry *flowtable.Entry, p packet.Packet, rest []byte, sent time.Time) bool {
	r := &dispatch.Request{Flow: entry.Flow, Class: entry.Class, SentAt: sent, ReturnDelay: entry.RoundTrip / 2}
	if !a.queue.Push(r, p, rest) {
		return false
	}
	a.counts.Held.Add(1)
	entry.Held = true
	a.config.Log.Info("requestHeld").Stringer("flow", entry.Flow).Str("request", entry.RequestID).Int("running", len(a.running)).
		Int("waiting", a.queue.Len()).Int("slots", a.slotCount()).Dur("service", a.service.Mean()).Send()
	return true
}

func (a *Agent) run(entry *flowtable.Entry, sent, now time.Time) {
	entry.Running = true
	a.running[entry.Flow] = running{sent: sent, delivered: now, concurrent: len(a.running) + 1}
	a.config.Log.Info("requestDelivered").Stringer("flow", entry.Flow).Str("request", entry.RequestID).
		Dur("waited", now.Sub(sent)).Int("running", len(a.running)).Send()
}

// cancel forgets the request of a flow that has ended.
func (a *Agent) cancel(entry *flowtable.Entry) {
	delete(a.running, entry.Flow)
	delete(a.expected, entry.Flow)
	a.queue.Drop(entry.Flow)
	entry.Running, entry.Held = false, false
}

// logAbandoned writes that a caller ended its flow while the request waited or ran.
func (a *Agent) logAbandoned(entry *flowtable.Entry, now time.Time) {
	if !entry.Running && !entry.Held {
		return
	}
	line := a.config.Log.Failure("requestAbandoned").Stringer("flow", entry.Flow).Str("request", entry.RequestID).Bool("held", entry.Held)
	if r, ok := a.running[entry.Flow]; ok {
		line = line.Dur("age", now.Sub(r.sent)).Dur("waited", r.delivered.Sub(r.sent)).Dur("server", now.Sub(r.delivered))
	}
	line.Int("running", len(a.running)).Int("waiting", a.queue.Len()).Dur("service", a.service.Mean()).Send()
}

// finish notes the first bytes of the answer to a request, and gives the server
// the next one.
func (a *Agent) finish(entry *flowtable.Entry, p packet.Packet, now time.Time) {
	a.counts.Answered.Add(1)
	status := httphead.Status(p.Data)
	a.failures.add(status >= failureStatus, now)
	if status >= failureStatus {
		a.counts.ServerFailures.Add(1)
	}
	if r, ok := a.running[entry.Flow]; ok {
		took := now.Sub(r.delivered)
		a.service.Observe(took, r.concurrent, a.slotCount())
		a.config.Observe(entry.Class.Once, now.Sub(r.sent), took)
		a.logAnswer(entry, r, status, now)
		delete(a.running, entry.Flow)
	}
	entry.Running = false
	a.fill(now)
}

// failureStatus is the lowest status code of a failure of the server.
const failureStatus = 500

// logAnswer writes failures and late answers under events of their own, so that
// they are not among the lines left out under load.
func (a *Agent) logAnswer(entry *flowtable.Entry, r running, status int, now time.Time) {
	age := now.Sub(r.sent)
	var line *zerolog.Event
	switch {
	case status >= failureStatus:
		line = a.config.Log.Failure("requestFailed")
	case age > time.Duration(entry.Class.TargetMillis)*time.Millisecond:
		line = a.config.Log.Failure("requestLate")
	default:
		line = a.config.Log.Info("requestAnswered")
	}
	line.Stringer("flow", entry.Flow).Str("request", entry.RequestID).Int("status", status).
		Dur("age", age).Dur("waited", r.delivered.Sub(r.sent)).Dur("server", now.Sub(r.delivered)).
		Int("concurrent", r.concurrent).Send()
}

// fill gives the server requests that wait, while it has room.
func (a *Agent) fill(now time.Time) {
	for len(a.running) < a.slotCount()+ahead {
		r := a.queue.Next(now, a.server())
		if r == nil {
			return
		}
		entry := a.table.Get(r.Flow)
		if entry == nil {
			continue
		}
		entry.Held = false
		a.run(entry, r.SentAt, now)
		r.Packets(func(raw []byte) {
			if p, ok := a.config.Codec.Parse(raw); ok {
				entry.RecordCallerPacket(p, now)
				a.write(p, raw, now)
			}
		})
	}
}

// expire drops requests whose caller has given up, and stops counting those
// that the server has had for too long.
func (a *Agent) expire(now time.Time) {
	service := a.service.Mean()
	for r := a.queue.Expired(now, service); r != nil; r = a.queue.Expired(now, service) {
		a.counts.Expired.Add(1)
		id := ""
		if entry := a.table.Get(r.Flow); entry != nil {
			entry.Held, id = false, entry.RequestID
		}
		a.config.Log.Failure("requestExpired").Stringer("flow", r.Flow).Str("request", id).
			Dur("age", now.Sub(r.SentAt)).Int("running", len(a.running)).Int("waiting", a.queue.Len()).Dur("service", service).Send()
	}
	overdue := max(overdueFactor*service, minOverdue)
	for f, r := range a.running {
		if now.Sub(r.delivered) > overdue {
			delete(a.running, f)
			a.counts.Overdue.Add(1)
			id := ""
			if entry := a.table.Get(f); entry != nil {
				entry.Running, id = false, entry.RequestID
			}
			a.config.Log.Failure("requestOverdue").Stringer("flow", f).Str("request", id).Dur("server", now.Sub(r.delivered)).
				Int("concurrent", r.concurrent).Dur("service", service).Send()
		}
	}
	a.fill(now)
}

// rateMeter measures the rate of requests over the last seconds.
type rateMeter struct {
	since time.Time
	count int
	rate  float32
}

// rateWindow is the length of a measurement.
const rateWindow = time.Second

// rateGain is the weight of the newest window.
const rateGain = 0.5

func (m *rateMeter) add(now time.Time) {
	m.turn(now)
	m.count++
}

func (m *rateMeter) turn(now time.Time) {
	elapsed := now.Sub(m.since)
	if elapsed < rateWindow {
		return
	}
	m.rate += rateGain * (float32(m.count)/float32(elapsed.Seconds()) - m.rate)
	m.since, m.count = now, 0
}

func (m *rateMeter) perSecond(now time.Time) float32 {
	m.turn(now)
	return m.rate
}
