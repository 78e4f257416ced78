package capacity

import (
	"context"
	"fmt"
	"net/netip"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/rs/zerolog"

	"github.com/bergamotgw/bergamotgw/internal/entry"
	"github.com/bergamotgw/bergamotgw/internal/lab/platform"
	"github.com/bergamotgw/bergamotgw/internal/node"
	"github.com/bergamotgw/bergamotgw/internal/settings"
	"github.com/bergamotgw/bergamotgw/internal/status"
	"github.com/bergamotgw/bergamotgw/internal/vm"
)

// Parameters of the spread of changes.
const (
	zones       = 7
	changes     = 10
	changeGap   = time.Second
	quietTime   = 15 * time.Second
	settleTime  = 8 * time.Second
	pollTime    = 2 * time.Millisecond
	targetNodes = 14_100
)

// Spread measures how a change reaches all nodes: time, bytes and calls against
// the number of nodes. Nodes are in one process but talk over TCP.
func Spread(ctx context.Context, sizes []int, octet uint8) ([]Slope, error) {
	delay := Slope{Name: "spread-time", Size: "nodes", Cost: "ms until in force everywhere, worst of 10", Target: targetNodes, Logarithmic: true}
	idle := Slope{Name: "idle-bytes", Size: "nodes", Cost: "bytes/s sent and received by a node, idle", Target: targetNodes}
	change := Slope{Name: "change-bytes", Size: "nodes", Cost: "bytes sent and received by a node for a change", Target: targetNodes, Logarithmic: true}
	calls := Slope{Name: "platform-calls", Size: "nodes", Cost: "platform calls for a change", Target: targetNodes}
	for _, n := range sizes {
		s, err := newSwarm(ctx, n, octet)
		if err != nil {
			return nil, err
		}
		s.measure(&delay, &idle, &change, &calls)
		s.stop()
	}
	return []Slope{delay, idle, change, calls}, nil
}

// swarm is a set of nodes with a platform.
type swarm struct {
	platform *platform.Platform
	nodes    []*node.Node
	cancel   context.CancelFunc
	running  sync.WaitGroup
}

func newSwarm(ctx context.Context, size int, octet uint8) (*swarm, error) {
	ctx, cancel := context.WithCancel(ctx)
	s := &swarm{platform: platform.NewPlatform(), cancel: cancel}
	platformAddress := at(octet, 0, 0, 4900)
	s.running.Go(func() { _ = s.platform.Run(ctx, platformAddress) })
	for i := range size {
		s.platform.Publish(vmEntry(vm.VM{Name: name(i), Revision: 1, Address: at(octet, 1+i>>8, i&255, 4600), Zone: zone(i), State: vm.Live}))
	}
	for i := range size {
		n, err := node.NewNode(node.Config{
			Common: settings.Common{
				Name: name(i), Zone: zone(i), Status: at(octet, 1+i>>8, i&255, 4700), Platform: "http://" + platformAddress.String(),
				PeerNetworks: []netip.Prefix{netip.PrefixFrom(at(octet, 0, 0, 1).Addr(), 16)},
				Seeds:        []netip.AddrPort{at(octet, 1, 0, 4600)},
			},
			Address:  at(octet, 1+i>>8, i&255, 4600),
			Role:     "balancer",
			State:    func() string { return "up" },
			Counters: func() []status.Counter { return nil },
			Clock:    clockwork.NewRealClock(),
			Log:      zerolog.Nop(),
		})
		if err != nil {
			s.stop()
			return nil, err
		}
		s.nodes = append(s.nodes, n)
		s.running.Go(func() { n.Run(ctx) })
	}
	time.Sleep(settleTime)
	return s, nil
}

func (s *swarm) stop() {
	s.cancel()
	s.running.Wait()
}

func (s *swarm) measure(delay, idle, change, calls *Slope) {
	n := float64(len(s.nodes))
	before := s.bytes()
	time.Sleep(quietTime)
	perSecond := float64(s.bytes()-before) / n / quietTime.Seconds()
	idle.add(n, perSecond)
	before, callsBefore := s.bytes(), s.platform.Calls()
	start := time.Now()
	worst := time.Duration(0)
	for i := range changes {
		worst = max(worst, s.publish(sectionEntryAt(uint64(i+1))))
		time.Sleep(changeGap)
	}
	quiet := perSecond * n * time.Since(start).Seconds()
	delay.add(n, milliseconds(worst))
	change.add(n, (float64(s.bytes()-before)-quiet)/n/changes)
	calls.add(n, float64(s.platform.Calls()-callsBefore)/changes)
}

// publish publishes a section and returns the time until all nodes have it.
func (s *swarm) publish(e entry.Entry) time.Duration {
	start := time.Now()
	s.platform.Publish(e)
	for _, n := range s.nodes {
		for {
			if in, ok := n.Ledger.Get(e.Key); ok && in.Revision >= e.Revision {
				break
			}
			time.Sleep(pollTime)
		}
	}
	return time.Since(start)
}

// bytes returns the bytes sent and received by all nodes.
func (s *swarm) bytes() uint64 {
	var sum uint64
	for _, n := range s.nodes {
		sum += n.Server.Traffic().Sent.Load() + n.Server.Traffic().Received.Load()
	}
	return sum
}

// sectionEntryAt returns a section with as many endpoints as is usual.
func sectionEntryAt(revision uint64) entry.Entry {
	e := sectionEntry(0, 3)
	e.Revision = revision
	e.Raw = []byte(fmt.Sprintf(`{"service":"service-0","owner":"capacity","revision":%d,"addresses":["10.200.0.1:4433"],"kinds":["once"],
 "endpoints":[{"vm":"a","agent":"10.0.0.1:4600","zone":"zone-1","slots":2,"connections":2000,"weight":1},
 {"vm":"b","agent":"10.0.0.2:4600","zone":"zone-1","slots":2,"connections":2000,"weight":1},
 {"vm":"c","agent":"10.0.0.3:4600","zone":"zone-1","slots":2,"connections":2000,"weight":1}],"limits":{}}`, revision))
	return e
}

func name(i int) string { return fmt.Sprintf("node-%d", i) }

func zone(i int) string { return fmt.Sprintf("zone-%d", i%zones) }

func at(octet uint8, third, fourth int, port uint16) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, octet, byte(third), byte(fourth)}), port)
}
