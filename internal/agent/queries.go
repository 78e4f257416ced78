package agent

import (
	"net/netip"
	"time"

	"github.com/bergamotgw/bergamotgw/internal/load"
	"github.com/bergamotgw/bergamotgw/internal/relay"
	"github.com/bergamotgw/bergamotgw/internal/section"
	"github.com/bergamotgw/bergamotgw/pkg/request"
)

// State returns load.Draining while the agent drains, is not listed in its
// section or in an evacuated zone, or its backend server wants no new work;
// load.Down if the backend server is unreachable; otherwise load.Up.
func (a *Agent) State() load.State {
	if s := a.serverState(); s != load.Up || !a.Evacuated() {
		return s
	}
	return load.Draining
}

// serverState returns what State returns outside evacuated zones.
func (a *Agent) serverState() load.State {
	a.mu.Lock()
	leaving := !a.drainingSince.IsZero()
	unlisted := a.section.Revision > 0 && !a.listed
	a.mu.Unlock()
	if leaving || unlisted || a.monitor.Draining() {
		return load.Draining
	}
	if !a.monitor.Up() {
		return load.Down
	}
	return load.Up
}

// Report returns the load report for peers.
func (a *Agent) Report() load.Report {
	l := a.limiter.Load()
	return load.Report{
		Agent:             a.config.Listen,
		State:             a.State(),
		Slots:             l.Slots,
		Queue:             l.Queue,
		Used:              l.Used,
		Queued:            l.Queued,
		MeanServiceMicros: l.MeanService.Microseconds(),
		Utilisation:       a.usage.utilisation(),
	}
}

// Flows returns the number of open flows.
func (a *Agent) Flows() int {
	return a.work.flows()
}

// Requests returns how many requests of each kind are in progress.
func (a *Agent) Requests() map[request.Kind]int {
	return a.work.count()
}

// RelayCounts returns the relay's counters, which continue to change.
func (a *Agent) RelayCounts() *relay.Counts {
	return a.relay.Counts()
}

// Section returns the current section; its Revision is 0 if none was set.
func (a *Agent) Section() section.Section {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.section
}

func (a *Agent) grace() time.Duration {
	return a.Section().Limits.Grace()
}

func (a *Agent) drainStartTime() time.Time {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.drainingSince
}

func (a *Agent) connectionLimit() int {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.endpoint.Connections
}

// serviceAddress returns the destination address for the PROXY header: the first
// address of the service, or the agent's own while the section has none.
func (a *Agent) serviceAddress() netip.AddrPort {
	a.mu.Lock()
	defer a.mu.Unlock()
	if len(a.section.Addresses) == 0 {
		return a.config.Listen
	}
	return a.section.Addresses[0]
}
