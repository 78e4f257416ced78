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

// Parameters of the dispatch of requests to the server.
const (
	// extraRequests is how many requests beyond its slots are delivered to the server, so
	// that a free slot never waits for the agent.
	extraRequests = 1
	// defaultSlots is the number of slots until a balancer has sent it.
	defaultSlots = 2
	// expectedTimeout is how long an admitted flow counts as an expected request: a few
	// round trips to a caller.
	expectedTimeout = 100 * time.Millisecond
	// overdueFactor times the service time, but at least minOverdue, is how long a request
	// counts as running at the server; after that its answer is not expected any more.
	overdueFactor = 8
	minOverdue    = 600 * time.Millisecond
)

// slotCount returns how many requests the server processes concurrently.
func (a *Agent) slotCount() int {
	if a.slots == 0 {
		return defaultSlots
	}
	return a.slots
}

// server returns the properties of the server on which the order of held requests depends.
func (a *Agent) server() dispatch.Server {
	return dispatch.Server{ServiceTime: a.service.Mean(), Slots: a.slotCount()}
}

// outstanding returns the number of requests that precede one that arrives now: those that
// are expected, those that run, and those held that can still be answered in time.
func (a *Agent) outstanding(now time.Time) int {
	return a.expectedCount(now) + a.queue.Timely(now, a.server()) + len(a.running)
}

// expectedCount returns the number of flows that were admitted within expectedTimeout and
// whose first request has not arrived. It drops older ones.
func (a *Agent) expectedCount(now time.Time) int {
	for f, at := range a.expected {
		if now.Sub(at) > expectedTimeout {
			delete(a.expected, f)
		}
	}
	return len(a.expected)
}

// delay returns how long a further request would wait for the server, and whether
// a new flow may be admitted without an offer to other candidates: if its request finds a free
// slot or, unless freeSlot is set, one of the extra places.
func (a *Agent) delay(now time.Time, freeSlot bool) (time.Duration, bool) {
	if a.leaving || a.silent(now) {
		return silentDelay, false
	}
	slots := a.slotCount()
	over := a.outstanding(now) + 1 - slots
	if over <= 0 {
		return 0, true
	}
	return time.Duration(over) * a.service.Mean() / time.Duration(slots), !freeSlot && over <= extraRequests
}

// deliverPacket sends a packet of an open flow to the server, or holds it if it begins a
// request and the server has no free place.
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
		if len(a.running) >= a.slotCount()+extraRequests && a.hold(entry, p, rest, sent) {
			return
		}
		a.startRequest(entry, sent, now)
	}
	entry.RecordCallerPacket(p, now)
	if p.Reset || p.Fin && entry.Held {
		a.logAbandoned(entry, now)
		a.dropRequest(entry)
	}
	a.deliver(e, p, rest, now)
}

// hold queues a request until the server has a free place. It returns false if the queue
// is full.
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

// startRequest records that a request is delivered to the server.
func (a *Agent) startRequest(entry *flowtable.Entry, sentAt, now time.Time) {
	entry.Running = true
	a.running[entry.Flow] = running{sentAt: sentAt, deliveredAt: now, concurrent: len(a.running) + 1}
	a.config.Log.Info("requestDelivered").Stringer("flow", entry.Flow).Str("request", entry.RequestID).
		Dur("waited", now.Sub(sentAt)).Int("running", len(a.running)).Send()
}

// dropRequest removes the request of a flow that has ended.
func (a *Agent) dropRequest(entry *flowtable.Entry) {
	delete(a.running, entry.Flow)
	delete(a.expected, entry.Flow)
	a.queue.Drop(entry.Flow)
	entry.Running, entry.Held = false, false
}

// logAbandoned logs that a flow ended while its request was held or running.
func (a *Agent) logAbandoned(entry *flowtable.Entry, now time.Time) {
	if !entry.Running && !entry.Held {
		return
	}
	line := a.config.Log.Failure("requestAbandoned").Stringer("flow", entry.Flow).Str("request", entry.RequestID).Bool("held", entry.Held)
	if r, ok := a.running[entry.Flow]; ok {
		line = line.Dur("age", now.Sub(r.sentAt)).Dur("waited", r.deliveredAt.Sub(r.sentAt)).Dur("server", now.Sub(r.deliveredAt))
	}
	line.Int("running", len(a.running)).Int("waiting", a.queue.Len()).Dur("service", a.service.Mean()).Send()
}

// finishRequest records the first bytes of the answer to a request, and delivers held
// requests in its place.
func (a *Agent) finishRequest(entry *flowtable.Entry, p packet.Packet, now time.Time) {
	a.counts.Answered.Add(1)
	status := httphead.Status(p.Data)
	a.failures.add(status >= failureStatus, now)
	if status >= failureStatus {
		a.counts.ServerFailures.Add(1)
	}
	if r, ok := a.running[entry.Flow]; ok {
		serverTime := now.Sub(r.deliveredAt)
		a.service.Observe(serverTime, r.concurrent, a.slotCount())
		a.config.Observe(entry.Class.Once, now.Sub(r.sentAt), serverTime)
		a.logAnswer(entry, r, status, now)
		delete(a.running, entry.Flow)
	}
	entry.Running = false
	a.deliverHeld(now)
}

// failureStatus is the lowest HTTP status code that counts as a failure of the server.
const failureStatus = 500

// logAnswer logs an answer. Failures and late answers have events of their own, so that
// they are not among the lines that the rate limit suppresses under load.
func (a *Agent) logAnswer(entry *flowtable.Entry, r running, status int, now time.Time) {
	age := now.Sub(r.sentAt)
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
		Dur("age", age).Dur("waited", r.deliveredAt.Sub(r.sentAt)).Dur("server", now.Sub(r.deliveredAt)).
		Int("concurrent", r.concurrent).Send()
}

// deliverHeld delivers held requests while the server has free places.
func (a *Agent) deliverHeld(now time.Time) {
	for len(a.running) < a.slotCount()+extraRequests {
		r := a.queue.Next(now, a.server())
		if r == nil {
			return
		}
		entry := a.table.Get(r.Flow)
		if entry == nil {
			continue
		}
		entry.Held = false
		a.startRequest(entry, r.SentAt, now)
		r.Packets(func(raw []byte) {
			if p, ok := a.config.Codec.Parse(raw); ok {
				entry.RecordCallerPacket(p, now)
				a.writeToServer(p, raw, now)
			}
		})
	}
}

// expireRequests drops held requests past their timeout, and stops counting running ones
// that are overdue.
func (a *Agent) expireRequests(now time.Time) {
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
		if now.Sub(r.deliveredAt) > overdue {
			delete(a.running, f)
			a.counts.Overdue.Add(1)
			id := ""
			if entry := a.table.Get(f); entry != nil {
				entry.Running, id = false, entry.RequestID
			}
			a.config.Log.Failure("requestOverdue").Stringer("flow", f).Str("request", id).Dur("server", now.Sub(r.deliveredAt)).
				Int("concurrent", r.concurrent).Dur("service", service).Send()
		}
	}
	a.deliverHeld(now)
}

// rateMeter measures the rate of requests over the last seconds, as an average of
// windows whose weights decay.
type rateMeter struct {
	windowStart time.Time
	count       int
	rate        float32
}

// rateWindow is the shortest time over which requests are counted.
const rateWindow = time.Second

// rateGain is the weight of the latest window in the average.
const rateGain = 0.5

func (m *rateMeter) add(now time.Time) {
	m.closeWindow(now)
	m.count++
}

// closeWindow adds the current window to the average once it has lasted rateWindow, and
// starts a new one.
func (m *rateMeter) closeWindow(now time.Time) {
	elapsed := now.Sub(m.windowStart)
	if elapsed < rateWindow {
		return
	}
	m.rate += rateGain * (float32(m.count)/float32(elapsed.Seconds()) - m.rate)
	m.windowStart, m.count = now, 0
}

func (m *rateMeter) perSecond(now time.Time) float32 {
	m.closeWindow(now)
	return m.rate
}
