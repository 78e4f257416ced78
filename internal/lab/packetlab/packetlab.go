// Package packetlab emulates whole deployments of bergamotflow, the layer-4 load balancer
// for packet flows. The balancers and agents run in one process and in virtual time, with
// stand-ins for the fabric, the platform, callers and backend servers. A Lab checks the
// guarantees of the system while it runs. Two runs with the same seed are nearly identical,
// but not exactly. A Soak runs balancers and agents as real processes instead.
package packetlab

import (
	"container/heap"
	"math/rand/v2"
	"net/netip"
	"os"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/rs/zerolog"

	"github.com/bergamotgw/bergamotgw/internal/eventlog"
	"github.com/bergamotgw/bergamotgw/internal/packet"
	"github.com/bergamotgw/bergamotgw/internal/position"
)

// One-way delays of the emulated network.
const (
	sameZoneDelay  = 200 * time.Microsecond
	crossZoneDelay = 1400 * time.Microsecond
	callerDelay    = 3 * time.Millisecond
	localDelay     = 20 * time.Microsecond
)

// Ports that all VMs use.
const (
	frontPort  = 28000
	backPort   = 27000
	agentPort  = 27001
	callerPort = frontPort
	appPort    = 29000
	outPort    = 29001
)

// Lab is an emulated deployment.
type Lab struct {
	// Findings lists the violated guarantees in order of time.
	Findings []string
	// Log receives the log events of balancers and agents.
	Log zerolog.Logger
	// Balanced makes balancers that start from now on place new flows by random draws.
	Balanced bool

	clock clockwork.Clock
	// advance moves the virtual clock; nil if the clock is the real one.
	advance func(d time.Duration)
	codec   packet.Codec
	encode  func(p packet.Packet) []byte
	// real runs balancers and agents as processes; nil if they run in this process.
	real    *real
	started time.Time
	rand    *rand.Rand
	events  events
	order   uint64

	zones     []string
	balancers []*balancerVM
	servers   []*serverVM
	callers   []*caller
	platform  published
	// receivers holds the functions that receive datagrams, by the address of their socket.
	receivers map[netip.AddrPort]func(raw []byte, from netip.AddrPort)
	// vms holds the VMs by their IP address.
	vms map[netip.Addr]*vm
	// flows holds the state that the checks keep for each flow.
	flows map[flowKey]*flowRecord
	// placedBy holds the balancer that has handled the latest packet of each flow or, of a real process,
	// to which it was routed.
	placedBy map[flowKey]*balancerVM
	// onceIDs holds the numbers of the requests that must not run twice, ranIDs those of
	// them that have run.
	onceIDs, ranIDs map[uint64]bool
	tally           Tally
	// byKind holds the tally of each kind of request.
	byKind map[string]Tally
	// coldRates is how many new flows a second a cold server can accept, by service; empty if there
	// are no limits.
	coldRates map[string]float64
	// recovery measures the latest loss of power by LosePowerAndPlatform; nil if there was none.
	recovery *recovery
	// outageFrom and outageUntil are when the last running balancer latest stopped, and when
	// one then started.
	outageFrom, outageUntil time.Time
	// suddenStopAt is when the last VM stops whose server has restarted during its drain: its
	// entry is removed although the server was listed as ready.
	suddenStopAt time.Time
	// failedFlows holds the flows on which a request ended without an answer, in order.
	failedFlows []packet.Flow
	// requests holds the operator's present requests to evacuate, by zone. evacuates is true from
	// the first one, and evacuatedUntil when the latest ended.
	requests       map[string]evacuation
	evacuates      bool
	evacuatedUntil time.Time
	nextIP         int
	nextID         uint64
}

// vm is a virtual machine.
type vm struct {
	ip   netip.Addr
	zone string
	up   bool
	// cut is true while the VM exchanges no datagram with any other VM.
	cut bool
	// isolated is true while the VM exchanges datagrams only with callers and the platform.
	isolated bool
	// pausedSince and pausedUntil are when the process on the VM began to stand still, and when it
	// continues; zero while it runs.
	pausedSince, pausedUntil time.Time
	// waiting holds the handling of the datagrams that wait in the sockets of a process that stands
	// still, in the order of their arrival.
	waiting []func()
	// epoch grows with every start and stop of the process, so that scheduled events of
	// former processes are ignored.
	epoch int
	// disturbedAt is when the VM or a process on it was last started, stopped or paused, or
	// when the VM was last reconnected.
	disturbedAt time.Time
}

// NewLab returns a deployment in the given zones that has no VMs yet. It runs in virtual
// time.
func NewLab(seed uint64, zones ...string) *Lab {
	clock := clockwork.NewFakeClockAt(time.Unix(1_000_000, 0))
	return &Lab{
		Log:       zerolog.Nop(),
		clock:     clock,
		advance:   clock.Advance,
		codec:     codec(),
		encode:    encode,
		started:   clock.Now(),
		rand:      rand.New(rand.NewPCG(seed, seed)),
		zones:     zones,
		platform:  published{at: position.Position{Epoch: 1}},
		receivers: make(map[netip.AddrPort]func([]byte, netip.AddrPort)),
		vms:       make(map[netip.Addr]*vm),
		flows:     make(map[flowKey]*flowRecord),
		placedBy:  make(map[flowKey]*balancerVM),
		onceIDs:   make(map[uint64]bool),
		ranIDs:    make(map[uint64]bool),
		requests:  make(map[string]evacuation),
		byKind:    make(map[string]Tally),
	}
}

// event is a scheduled call. Events of the same time run in the order in which they were
// scheduled.
type event struct {
	at    time.Time
	order uint64
	run   func()
}

// events is a heap of events by time.
type events []event

func (e events) Len() int { return len(e) }
func (e events) Less(i, j int) bool {
	if e[i].at.Equal(e[j].at) {
		return e[i].order < e[j].order
	}
	return e[i].at.Before(e[j].at)
}
func (e events) Swap(i, j int) { e[i], e[j] = e[j], e[i] }
func (e *events) Push(x any)   { *e = append(*e, x.(event)) }
func (e *events) Pop() any {
	old := *e
	last := old[len(old)-1]
	*e = old[:len(old)-1]
	return last
}

// after schedules a function to run after the given time.
func (l *Lab) after(d time.Duration, run func()) {
	l.order++
	heap.Push(&l.events, event{l.clock.Now().Add(d), l.order, run})
}

// every runs a function at the given interval until the process on the VM stops or is
// started again. The first call comes after a random part of the interval.
func (l *Lab) every(v *vm, interval time.Duration, run func()) {
	epoch := v.epoch
	l.after(time.Duration(l.rand.Int64N(int64(interval))), func() {
		l.repeat(v, epoch, interval, run)
	})
}

func (l *Lab) repeat(v *vm, epoch int, interval time.Duration, run func()) {
	if !v.up || v.epoch != epoch {
		return
	}
	v.handle(func() {
		run()
		l.after(interval, func() { l.repeat(v, epoch, interval, run) })
	})
}

// At schedules a function to run at the given time since the start.
func (l *Lab) At(d time.Duration, run func()) {
	l.after(d-l.Elapsed(), run)
}

// Elapsed returns the time since the start of the Lab.
func (l *Lab) Elapsed() time.Duration {
	return l.clock.Since(l.started)
}

// Run runs the scheduled events until the given time since the start.
func (l *Lab) Run(until time.Duration) {
	if l.real != nil {
		l.runReal(until)
		return
	}
	end := l.started.Add(until)
	for len(l.events) > 0 && !l.events[0].at.After(end) {
		e := heap.Pop(&l.events).(event)
		if d := e.at.Sub(l.clock.Now()); d > 0 {
			l.advance(d)
		}
		e.run()
	}
}

// newVM adds a running VM with a new IP address.
func (l *Lab) newVM(zone string) *vm {
	l.nextIP++
	v := &vm{ip: netip.AddrFrom4(l.address()), zone: zone, up: true, disturbedAt: l.clock.Now()}
	l.vms[v.ip] = v
	return v
}

// address returns the current IP address of the sequence. For real processes it is a
// loopback address in a network derived from the process ID, so that concurrent runs on the
// same machine rarely use the same addresses.
func (l *Lab) address() [4]byte {
	if l.real != nil {
		return [4]byte{127, byte(1 + os.Getpid()%loopbackNetworks), byte(l.nextIP >> 8), byte(l.nextIP)}
	}
	return [4]byte{10, 1, byte(l.nextIP >> 8), byte(l.nextIP)}
}

// loopbackNetworks is the number of loopback networks among which real processes choose.
const loopbackNetworks = 250

// eventLog returns the event log for a process on a VM.
func (l *Lab) eventLog(v *vm) *eventlog.Log {
	return eventlog.NewDirectLog(l.Log.With().Str("vm", v.ip.String()).Logger(), l.clock)
}

// send delivers a datagram from one socket to another after the delay of the network, or
// drops it if the two VMs cannot reach each other.
func (l *Lab) send(raw []byte, from, to netip.AddrPort) {
	source, target := l.vms[from.Addr()], l.vms[to.Addr()]
	if target == nil || !reachable(source, target) {
		return
	}
	copied := append([]byte(nil), raw...)
	if l.real != nil {
		l.real.send(copied, from, to)
		return
	}
	l.after(l.delay(source, target), func() {
		if receive := l.receivers[to]; receive != nil && reachable(source, target) && target.up {
			if to.Port() == appPort {
				receive(copied, from)
				return
			}
			target.handle(func() { receive(copied, from) })
		}
	})
}

// reachable reports whether datagrams pass between two VMs; a is nil for a source without
// a VM.
func reachable(a, b *vm) bool {
	switch {
	case a == b:
		return true
	case a == nil || a.zone == callerZone || b.zone == callerZone:
		return (a == nil || !a.cut) && !b.cut
	default:
		return !a.cut && !b.cut && !a.isolated && !b.isolated
	}
}

// delay returns the one-way delay between two VMs.
func (l *Lab) delay(a, b *vm) time.Duration {
	switch {
	case a == b:
		return localDelay
	case a == nil || b.zone == callerZone || a.zone == callerZone:
		return callerDelay
	case a.zone == b.zone:
		return sameZoneDelay
	default:
		return crossZoneDelay
	}
}

// callerZone is the zone of the VMs of callers, outside the availability zones.
const callerZone = "callers"
