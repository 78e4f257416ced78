package packetlab

import (
	"fmt"
	"math/rand/v2"
	"time"
)

// soakPauseSeeds is the first seed whose schedule also makes processes stand still for longer and in turn,
// and moves routes between two services.
const soakPauseSeeds = 1_000_000

// soakSliceSeeds is the first of these seeds whose schedule also makes balancers run in slices.
const soakSliceSeeds = 1_500_000

// besidePauses are the other faults of even seeds. None of them makes balancers read the platform, or ends
// the time in which a change must be in force.
var besidePauses = []string{"killAgent", "leaveAgent", "crashServer", "reload", "routes"}

// otherService is the service that routes of such a seed lead to for a while.
const otherService = "next"

// pauseFaults returns the kinds of fault from soakPauseSeeds on.
func (s Soak) pauseFaults() []fault {
	return []fault{
		{"pauseBalancerLong", 2, func(l *Lab, r *rand.Rand) string {
			return onBalancer(l, r, func(i int) { l.suspend(l.balancers[i].vm, pauseTime(r)) })
		}},
		{"pauseAgentLong", 2, func(l *Lab, r *rand.Rand) string {
			return onServer(l, r, func(i int) { l.suspend(l.servers[i].vm, pauseTime(r)) })
		}},
		{"pauseInTurn", 2, func(l *Lab, r *rand.Rand) string {
			steps := 10 + r.IntN(20)
			l.PauseInTurn(steps, turnPause)
			return fmt.Sprintf("%d steps", steps)
		}},
		{"moveRoutes", 4, func(l *Lab, r *rand.Rand) string {
			all, d := r.IntN(3) == 0, pauseTime(r)*time.Duration(1+r.IntN(4))
			if r.IntN(3) == 0 {
				d /= 10
			}
			to := []string{otherService, soakService.Name}
			if all {
				to[1] = otherService
			}
			l.SetRoutes(l.platform.newest.Version+uint64(1+r.IntN(5)), soakKinds, to)
			l.after(d, func() {
				l.SetRoutes(l.platform.newest.Version+uint64(1+r.IntN(5)), soakKinds, []string{soakService.Name, soakService.Name})
			})
			return fmt.Sprintf("%v for %v", to, d)
		}},
	}
}

// pauseTime draws how long a process stands still: 0.3 s to longestPause.
func pauseTime(r *rand.Rand) time.Duration {
	const least = 300 * time.Millisecond
	return least + time.Duration(r.Int64N(int64(longestPause-least)))
}
