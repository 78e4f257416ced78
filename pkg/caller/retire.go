package caller

import "time"

// startTimer returns the timer that starts the next attempt.
func startTimer(started int) *time.Timer {
	if started >= maxAttempts {
		return time.NewTimer(openTimeout)
	}
	return time.NewTimer(attemptDelay)
}

// retirePoll is the time between looks at a flow that was left.
const retirePoll = 100 * time.Millisecond

// retire closes a flow that has a successor once its streams have ended.
func (c *Caller) retire(f *flow) {
	if f == nil {
		return
	}
	go func() {
		t := time.NewTicker(retirePoll)
		defer t.Stop()
		for f.streams.Load() > 0 {
			select {
			case <-f.conn.Context().Done():
				return
			case <-t.C:
			}
		}
		_ = f.conn.CloseWithError(0, "moved")
	}()
}
