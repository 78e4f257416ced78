package evenload

import (
	"fmt"
	"time"

	"github.com/bergamotgw/bergamotgw/internal/bounds"
	"github.com/bergamotgw/bergamotgw/internal/catalog"
	"github.com/bergamotgw/bergamotgw/internal/position"
	"github.com/bergamotgw/bergamotgw/internal/selection"
)

// balancer is a balancer with the selection of the product.
type balancer struct {
	selection *selection.Selection
}

// newBalancer returns a balancer that knows all servers and pings agents as the product does.
func newBalancer(s *simulation, i int) *balancer {
	b := &balancer{selection: selection.NewSelection(fmt.Sprint(i%zones), agentPort, time.Hour, bounds.Default(), s.now.Add(time.Duration(i)))}
	var list []catalog.Server
	for j := range s.Servers {
		list = append(list, s.entry(j))
	}
	b.selection.RecordRead(s.now, s.now)
	b.selection.Update(catalog.NewServers(position.Position{Revision: 1}, list), s.now)
	b.selection.SetOrder(s.placement.order(s.random))
	var ping func()
	ping = func() {
		s.after(pingInterval, ping)
		b.selection.RecordRead(s.now, s.now)
		b.selection.NotifyChanges(s.now, func(_ selection.Agent, silent bool) {
			if silent && s.measuring() {
				s.outcome.Silent++
			}
		})
		for _, at := range b.selection.DueForPing(s.now) {
			b.selection.RecordPing(at, s.now)
			v := s.serverAt(at)
			v.subscribers[b] = s.now
			s.count(1)
			v.report(b)
		}
	}
	s.after(time.Duration(s.random.Int64N(int64(pingInterval))), ping)
	return b
}
