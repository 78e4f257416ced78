package packetlab

import "time"

const (
	// longestPause is the longest time for which a process stands still, and turnPause that of one of
	// several in turn.
	longestPause = 3500 * time.Millisecond
	turnPause    = 800 * time.Millisecond
	// slicePause is how long a process stands still that runs in slices, and slice how long it runs in
	// between, as on a VM that is short of processor time.
	slicePause = 200 * time.Millisecond
	slice      = 50 * time.Millisecond
)

// PauseBalancer makes the process of a balancer stand still for the given time.
func (l *Lab) PauseBalancer(i int, d time.Duration) {
	l.pause(l.balancers[i].vm, d)
}

// PauseAgent makes the process of an agent stand still for the given time. Its server runs on.
func (l *Lab) PauseAgent(i int, d time.Duration) {
	l.pause(l.servers[i].vm, d)
}

// PauseInTurn makes balancers stand still in turn, each for the given time: a further one every half of
// it, from the second balancer on, for the given number of steps. The first one runs on.
func (l *Lab) PauseInTurn(steps int, d time.Duration) {
	for n := range steps {
		l.after(time.Duration(n)*d/2, func() {
			if others := len(l.balancers) - 1; others > 0 && l.balancers[1+n%others].up {
				l.PauseBalancer(1+n%others, d)
			}
		})
	}
}

// PauseInSlices makes all balancers run only in slices for the given time.
func (l *Lab) PauseInSlices(d time.Duration) {
	for at := time.Duration(0); at < d; at += slicePause + slice {
		l.after(at, func() {
			for i, b := range l.balancers {
				if b.up {
					l.PauseBalancer(i, slicePause)
				}
			}
		})
	}
}

// pause makes the process on a VM stand still. Datagrams wait in its sockets meanwhile, and its timers
// fire late: it handles all of them as soon as it continues. A pause that begins during another one
// extends it.
func (l *Lab) pause(v *vm, d time.Duration) {
	if l.real != nil {
		l.suspend(v, d)
		return
	}
	if !v.up {
		return
	}
	if v.pausedSince.IsZero() {
		v.pausedSince = l.clock.Now()
	}
	epoch, until := v.epoch, l.clock.Now().Add(d)
	if until.After(v.pausedUntil) {
		v.pausedUntil = until
	}
	l.after(d, func() {
		if v.epoch == epoch && !l.clock.Now().Before(v.pausedUntil) {
			l.resume(v)
		}
	})
}

// resume lets the process on a VM continue.
func (l *Lab) resume(v *vm) {
	waiting := v.waiting
	v.endPause()
	v.disturbedAt = l.clock.Now()
	for _, handle := range waiting {
		handle()
	}
}

// endPause ends the pause of a process; what waits in its sockets is lost.
func (v *vm) endPause() {
	v.pausedSince, v.pausedUntil, v.waiting = time.Time{}, time.Time{}, nil
}

// handle calls a function of the process on a VM, or as soon as that continues.
func (v *vm) handle(call func()) {
	if v.pausedUntil.IsZero() {
		call()
		return
	}
	v.waiting = append(v.waiting, call)
}

// missesProbes reports whether the process has stood still for so long that the fabric routes no packets
// to it.
func (b *balancerVM) missesProbes() bool {
	return !b.pausedSince.IsZero() && b.lab.clock.Since(b.pausedSince) > probeDelay
}
