package agent

import (
	"github.com/bergamotgw/bergamotgw/internal/load"
	"github.com/bergamotgw/bergamotgw/internal/section"
)

// Evacuated reports whether the agent is in an evacuated zone. It then accepts no new
// flows, sessions and requests of peers, and hands the requests of its open flows over to
// peers, as while it drains; but it keeps running, and callers keep their flows.
func (a *Agent) Evacuated() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.evacuated
}

// mayServeOwn reports whether only the evacuation keeps the local backend server from
// work. It then serves requests of open flows that no peer accepts, because the evacuation
// must not cut open flows.
func (a *Agent) mayServeOwn() bool {
	return a.Evacuated() && a.serverState() == load.Up
}

// evacuationChanged tells peers and the log that the evacuation of the agent's zone has
// started or ended.
func (a *Agent) evacuationChanged(s section.Section, zone string) {
	event := "evacuationEnded"
	if a.Evacuated() {
		event = "evacuationStarted"
	}
	a.config.StateChanged()
	a.config.Log.Info().Str("event", event).Str("zone", zone).Uint64("revision", s.Revision).
		Int("flows", a.work.flows()).Int("requests", a.work.total()).Send()
}
