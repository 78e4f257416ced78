package selection

import (
	"maps"
	"net/netip"
	"slices"
	"time"

	"github.com/bergamotgw/bergamotgw/internal/catalog"
)

// place is an address with the service of a server that is listed there.
type place struct {
	address netip.AddrPort
	service string
}

func (a *Agent) place() place {
	return place{a.Address, a.Server.Service}
}

// Update applies a new reading of the list of servers. Agents whose server is no longer
// listed are removed after the retention period.
func (s *Selection) Update(servers catalog.Servers, now time.Time) {
	if s.epoch > 0 && servers.Epoch > s.epoch {
		s.interruptedUntil = now.Add(removedAfter)
	}
	s.epoch = servers.Epoch
	listed := s.newestByPlace(servers)
	for _, a := range s.agents {
		a.earlierListed = false
	}
	maps.DeleteFunc(listed, s.former)
	for at, v := range listed {
		s.setListed(at, v, now)
	}
	for at, a := range s.agents {
		if _, ok := listed[at]; ok {
			continue
		}
		if a.UnlistedSince.IsZero() {
			a.UnlistedSince = now
		}
		if now.Sub(a.UnlistedSince) > s.retain {
			delete(s.agents, at)
			delete(s.tracked, at)
			s.recordChange(a)
		}
	}
	s.updateEvacuations(servers.Evacuations, now)
	s.index()
}

// Expire adds a server whose entry in the list expired at the time since, unless an agent
// at its place is stored already, of a server that started later or after that entry has had
// time to return. This balancer may never have read the entry.
func (s *Selection) Expire(v catalog.Server, since, now time.Time) {
	at := s.placeOf(v)
	if a := s.agents[at]; a != nil && (a.Server.Born >= v.Born || s.readSince.Sub(since) >= removedAfter) {
		return
	}
	s.setListed(at, v, since)
	s.agents[at].UnlistedSince = since
	s.agents[at].countsAsGone = now.Sub(since) > goneAfter
	s.index()
}

// newestByPlace returns the latest started server of each service for each address of an agent.
// A server that restarted under another ID is listed twice until its former entry expires.
func (s *Selection) newestByPlace(servers catalog.Servers) map[place]catalog.Server {
	listed := make(map[place]catalog.Server, len(servers.List))
	for _, v := range servers.List {
		at := s.placeOf(v)
		if other, ok := listed[at]; !ok || v.Born > other.Born {
			listed[at] = v
		}
	}
	return listed
}

func (s *Selection) placeOf(v catalog.Server) place {
	return place{netip.AddrPortFrom(v.Address, s.port), v.Service}
}

// former reports whether a listed server seems to be a former one at its place: a server that
// started later was listed there a moment ago. The platform lists it again after a return from a
// backup, until its entry expires; that of the present one returns sooner. It may be the present one
// instead, whose VM has a clock that is behind, so this is recorded.
func (s *Selection) former(at place, v catalog.Server) bool {
	a := s.agents[at]
	if a == nil || v.Born >= a.Server.Born || s.unlistedFor(a) >= removedAfter {
		return false
	}
	a.earlierListed = true
	return true
}

// setListed stores the entry of a listed server. A server that has restarted, or has
// replaced another at its place, gets a new agent without reports.
func (s *Selection) setListed(at place, v catalog.Server, now time.Time) {
	if s.listedAt.IsZero() {
		s.listedAt = now
	}
	a := s.agents[at]
	if a == nil || a.Server.ID != v.ID || a.Server.Born != v.Born {
		a = &Agent{Address: at.address, hash: s.ranker.Hash([]byte(at.address.String())), startedTogether: s.StartedTogether(v)}
		a.recentlyStarted = v.Warmup > 0 || a.startedTogether
		s.agents[at], s.tracked[at] = a, a
		a.Server = v
		a.WarmUntil = now.Add(v.Warmup)
		s.recordChange(a)
		if !s.foreign(a) {
			s.countChange(a)
		}
	}
	a.Server, a.UnlistedSince, a.countsAsGone = v, time.Time{}, false
	// An entry states the time that was left when it was written, so each is an upper bound. An
	// entry without a start may be that of a restarted server.
	if until := now.Add(v.Warmup); v.Born == 0 || until.Before(a.WarmUntil) {
		a.WarmUntil = until
	}
}

// recordChange records that an agent was added, replaced or removed. Foreign entries, which may
// change at any rate, do not count.
func (s *Selection) recordChange(a *Agent) {
	if !s.foreign(a) {
		s.listVersion++
	}
}

// countChange records that the agent may hold flows that no agent has denied for it.
func (s *Selection) countChange(a *Agent) {
	s.changes++
	a.changed = s.changes
}

// StartedTogether reports whether a server has started together with this balancer or later.
func (s *Selection) StartedTogether(v catalog.Server) bool {
	return v.Born >= s.started.Add(-maxStartSkew).UnixMilli()
}

// index rebuilds the indexes of agents by service and by address.
func (s *Selection) index() {
	clear(s.byService)
	clear(s.byAddress)
	for _, a := range s.agents {
		s.byService[a.Server.Service] = append(s.byService[a.Server.Service], a)
		s.byAddress[a.Address] = append(s.byAddress[a.Address], a)
	}
	for _, list := range s.byService {
		slices.SortFunc(list, func(a, b *Agent) int { return a.Address.Compare(b.Address) })
	}
	s.selectMonitored()
}

// NameServices adds services to those that routes have named. Flows may stay at servers of a
// service that no route names any longer.
func (s *Selection) NameServices(names []string) {
	for _, name := range names {
		for _, a := range s.byService[name] {
			if s.foreign(a) {
				s.countChange(a)
			}
		}
		s.named[name] = true
	}
}

// foreign reports whether there seems to be no agent beside the server of an entry, which another
// writer has listed: no route has ever named its service, and nothing has answered at its address.
func (s *Selection) foreign(a *Agent) bool {
	return len(s.named) > 0 && !s.named[a.Server.Service] && a.LastReportAt.IsZero()
}
