package caller

import "time"

// startTimer returns the timer that starts the next attempt to open a flow.
func startTimer(started int) *time.Timer {
	if started >= maxAttempts {
		return time.NewTimer(openTimeout)
	}
	return time.NewTimer(attemptDelay)
}

// retirePollInterval is the time between two checks whether a retired flow still has streams.
const retirePollInterval = 100 * time.Millisecond

// retire closes a flow that takes no more requests as soon as its streams have ended.
func (c *Caller) retire(f *flow) {
	if f == nil {
		return
	}
	go func() {
		t := time.NewTicker(retirePollInterval)
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
