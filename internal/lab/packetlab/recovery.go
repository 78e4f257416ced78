package packetlab

import (
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/samber/lo"

	"github.com/bergamotgw/bergamotgw/internal/packet"
)

// Times after the return of power, as measured on a deployment of 43 servers.
const (
	// bootSpread is how much later the last VM starts than the first.
	bootSpread = 100 * time.Millisecond
	// agentStartDelay is how much later than its server an agent starts, and balancerStartDelay
	// how much later than the first VM a balancer.
	agentStartDelay    = 80 * time.Millisecond
	balancerStartDelay = 300 * time.Millisecond
	// registerSpread is how long after the return of the platform the last server registers.
	registerSpread = 300 * time.Millisecond
	// startReadInterval is the interval of readings while the list of servers is young, and
	// startReads the number of these readings, as internal/directory reads.
	startReadInterval = 150 * time.Millisecond
	startReads        = 6
)

// recovery measures how a deployment recovers from a loss of power.
type recovery struct {
	lostAt time.Time
	// lost holds the flows that were open then and whose callers have not been told, with the time
	// at which the first packet of each arrived since at a balancer with routes and servers.
	lost map[packet.Flow]time.Time
	// resets holds when their callers were told by a reset, in order, delays the times from that
	// packet to the reset, and waited counts the requests on them that ended by their timeout.
	resets, delays []time.Duration
	waited         int
	// admittedAt is when the first new flow was open.
	admittedAt time.Duration
}

// LosePowerAndPlatform stops all VMs for the given time, and the platform for silent. The VMs start
// one after another, a server before its agent, and the servers register one after another once
// the platform answers.
func (l *Lab) LosePowerAndPlatform(down, silent time.Duration) {
	r := rand.New(rand.NewPCG(l.nextID, 1))
	l.recovery = &recovery{lostAt: l.clock.Now(), lost: make(map[packet.Flow]time.Time)}
	for f, v := range l.flows {
		if !v.closed && v.server.alive {
			l.recovery.lost[f] = time.Time{}
		}
	}
	l.PlatformDown(silent, false)
	for i, b := range l.balancers {
		l.RestartBalancer(i, down+balancerStartDelay+after(r, bootSpread))
		for n := range startReads {
			l.after(silent+time.Duration(n)*startReadInterval, func() {
				if b.up {
					b.read()
				}
			})
		}
	}
	for i, s := range l.servers {
		boot := down + after(r, bootSpread)
		l.RestartAgent(i, boot+agentStartDelay)
		l.CrashServer(i, boot)
		registered := max(silent, boot) + after(r, registerSpread)
		l.after(boot, func() { l.platform.remove(l, s.entryID()) })
		l.after(registered, func() { l.platform.register(s) })
	}
}

// after draws a time up to spread.
func after(r *rand.Rand, spread time.Duration) time.Duration {
	return time.Duration(r.Int64N(int64(spread)))
}

// recordArrived records that a packet of a caller arrives at a balancer.
func (r *recovery) recordArrived(f packet.Flow, at *balancerVM) {
	if r == nil || !at.catalog.Complete() {
		return
	}
	if first, lost := r.lost[f]; lost && first.IsZero() {
		r.lost[f] = at.lab.clock.Now()
	}
}

// recordTold records that a caller has received a reset.
func (r *recovery) recordTold(f packet.Flow, now time.Time) {
	if r == nil {
		return
	}
	if first, lost := r.lost[f]; lost {
		delete(r.lost, f)
		r.resets = append(r.resets, now.Sub(r.lostAt))
		r.delays = append(r.delays, now.Sub(first))
	}
}

// recordWaited records that a request has ended by its timeout.
func (r *recovery) recordWaited(f packet.Flow) {
	if r == nil {
		return
	}
	if _, lost := r.lost[f]; lost {
		delete(r.lost, f)
		r.waited++
	}
}

// recordAdmitted records that a new flow is open.
func (r *recovery) recordAdmitted(now time.Time) {
	if r != nil && r.admittedAt == 0 && now.After(r.lostAt) {
		r.admittedAt = now.Sub(r.lostAt)
	}
}

// String returns the figures, as times since the loss of power.
func (r *recovery) String() string {
	if len(r.resets) == 0 {
		return fmt.Sprintf("no reset, %d requests waited, new flows from %v", r.waited, r.admittedAt)
	}
	return fmt.Sprintf("%d lost flows reset, the first at %v, half of them by %v, the last at %v; delays of %v in the mean, at most %v; "+
		"%d requests waited until their timeout; new flows from %v", len(r.resets), r.resets[0], r.resets[len(r.resets)/2],
		lo.LastOrEmpty(r.resets), lo.Sum(r.delays)/time.Duration(len(r.delays)), lo.Max(r.delays), r.waited, r.admittedAt)
}
