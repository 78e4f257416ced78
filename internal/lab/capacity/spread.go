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

// Parameters of the measurement of how changes spread. stabilizeTime is the time after
// the start in which the nodes connect to one another; idleTime is the time over which
// the traffic without changes is measured.
const (
	zoneCount      = 7
	changeCount    = 10
	changeInterval = time.Second
	idleTime       = 15 * time.Second
	stabilizeTime  = 8 * time.Second
	pollInterval   = 2 * time.Millisecond
	targetNodes    = 14_100
)

// Spread measures the time, the bytes and the platform calls that a change needs to
// reach all nodes, for each of the given numbers of nodes. All nodes run in one process
// and communicate over TCP. The octet is the second octet of their loopback addresses.
func Spread(ctx context.Context, sizes []int, octet uint8) ([]Slope, error) {
	delay := Slope{Name: "spread-time", Size: "nodes", Cost: "ms until all nodes have a change, worst of 10", Target: targetNodes, Logarithmic: true}
	idle := Slope{Name: "idle-bytes", Size: "nodes", Cost: "bytes/s sent and received by a node, idle", Target: targetNodes}
	change := Slope{Name: "change-bytes", Size: "nodes", Cost: "bytes sent and received by a node for a change", Target: targetNodes, Logarithmic: true}
	calls := Slope{Name: "platform-calls", Size: "nodes", Cost: "platform calls for a change", Target: targetNodes}
	for _, n := range sizes {
		c, err := newCluster(ctx, n, octet)
		if err != nil {
			return nil, err
		}
		c.measure(&delay, &idle, &change, &calls)
		c.stop()
	}
	return []Slope{delay, idle, change, calls}, nil
}

// cluster is a set of running nodes that read from one platform.
type cluster struct {
	platform *platform.Platform
	nodes    []*node.Node
	cancel   context.CancelFunc
	wg       sync.WaitGroup
}

// newCluster starts a platform and the given number of nodes, and waits until they
// exchange entries.
func newCluster(ctx context.Context, size int, octet uint8) (*cluster, error) {
	ctx, cancel := context.WithCancel(ctx)
	c := &cluster{platform: platform.NewPlatform(), cancel: cancel}
	platformAddress := loopbackAddress(octet, 0, 0, 4900)
	c.wg.Go(func() { _ = c.platform.Run(ctx, platformAddress) })
	for i := range size {
		c.platform.Publish(balancerEntry(vm.VM{Name: nodeName(i), Revision: 1, Address: loopbackAddress(octet, 1+i>>8, i&255, 4600), Zone: nodeZone(i), State: vm.Live}))
	}
	for i := range size {
		n, err := node.NewNode(node.Config{
			Common: settings.Common{
				Name: nodeName(i), Zone: nodeZone(i), Status: loopbackAddress(octet, 1+i>>8, i&255, 4700), Platform: "http://" + platformAddress.String(),
				PeerNetworks: []netip.Prefix{netip.PrefixFrom(loopbackAddress(octet, 0, 0, 1).Addr(), 16)},
				Seeds:        []netip.AddrPort{loopbackAddress(octet, 1, 0, 4600)},
			},
			Address:  loopbackAddress(octet, 1+i>>8, i&255, 4600),
			Role:     "balancer",
			State:    func() string { return "up" },
			Counters: func() []status.Counter { return nil },
			Clock:    clockwork.NewRealClock(),
			Log:      zerolog.Nop(),
		})
		if err != nil {
			c.stop()
			return nil, err
		}
		c.nodes = append(c.nodes, n)
		c.wg.Go(func() { n.Run(ctx) })
	}
	time.Sleep(stabilizeTime)
	return c, nil
}

func (c *cluster) stop() {
	c.cancel()
	c.wg.Wait()
}

// measure adds one point to each series. The bytes of a change exclude those that the
// nodes exchange when idle.
func (c *cluster) measure(delay, idle, change, calls *Slope) {
	n := float64(len(c.nodes))
	before := c.trafficBytes()
	time.Sleep(idleTime)
	idleBytesPerSecond := float64(c.trafficBytes()-before) / n / idleTime.Seconds()
	idle.addPoint(n, idleBytesPerSecond)
	before, callsBefore := c.trafficBytes(), c.platform.Calls()
	start := time.Now()
	longest := time.Duration(0)
	for i := range changeCount {
		longest = max(longest, c.publish(sectionEntryWithRevision(uint64(i+1))))
		time.Sleep(changeInterval)
	}
	idleBytes := idleBytesPerSecond * n * time.Since(start).Seconds()
	delay.addPoint(n, milliseconds(longest))
	change.addPoint(n, (float64(c.trafficBytes()-before)-idleBytes)/n/changeCount)
	calls.addPoint(n, float64(c.platform.Calls()-callsBefore)/changeCount)
}

// publish publishes an entry and returns the time until all nodes have stored it.
func (c *cluster) publish(e entry.Entry) time.Duration {
	start := time.Now()
	c.platform.Publish(e)
	for _, n := range c.nodes {
		for {
			if stored, ok := n.Ledger.Get(e.Key); ok && stored.Revision >= e.Revision {
				break
			}
			time.Sleep(pollInterval)
		}
	}
	return time.Since(start)
}

// trafficBytes returns the number of bytes that all nodes have sent and received.
func (c *cluster) trafficBytes() uint64 {
	var sum uint64
	for _, n := range c.nodes {
		sum += n.Server.Traffic().Sent.Load() + n.Server.Traffic().Received.Load()
	}
	return sum
}

// sectionEntryWithRevision returns a section of typical size, with three endpoints.
func sectionEntryWithRevision(revision uint64) entry.Entry {
	e := sectionEntry(0, 3)
	e.Revision = revision
	e.Raw = []byte(fmt.Sprintf(`{"service":"service-0","owner":"capacity","revision":%d,"addresses":["10.200.0.1:4433"],"kinds":["once"],
 "endpoints":[{"vm":"a","agent":"10.0.0.1:4600","zone":"zone-1","slots":2,"connections":2000,"weight":1},
 {"vm":"b","agent":"10.0.0.2:4600","zone":"zone-1","slots":2,"connections":2000,"weight":1},
 {"vm":"c","agent":"10.0.0.3:4600","zone":"zone-1","slots":2,"connections":2000,"weight":1}],"limits":{}}`, revision))
	return e
}

func nodeName(i int) string { return fmt.Sprintf("node-%d", i) }

func nodeZone(i int) string { return fmt.Sprintf("zone-%d", i%zoneCount) }

func loopbackAddress(octet uint8, third, fourth int, port uint16) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, octet, byte(third), byte(fourth)}), port)
}
