package dispatch

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/datadriven"

	"github.com/bergamotgw/bergamotgw/internal/packet"
	"github.com/bergamotgw/bergamotgw/internal/steer"
)

// TestOrder runs scripts of a queue. push adds a request that was sent some time ago. order
// prints the order in which waiting requests are delivered, timely how many of them are
// delivered before a further one, and expired those that can no longer be answered in time.
func TestOrder(t *testing.T) {
	start := time.Unix(1000, 0)
	datadriven.Walk(t, "testdata", func(t *testing.T, path string) {
		var q Queue
		var ids []string
		datadriven.RunTest(t, path, func(t *testing.T, d *datadriven.TestData) string {
			switch d.Cmd {
			case "push":
				r := request(t, d, start)
				r.Flow = packet.Flow{CallerPort: uint16(len(ids))}
				ids = append(ids, d.CmdArgs[0].Key)
				q.Push(r, packet.Packet{Seq: 1}, nil)
				return ""
			case "order":
				s := server(t, d)
				var out []string
				for r := q.Next(start, s); r != nil; r = q.Next(start, s) {
					out = append(out, ids[r.Flow.CallerPort])
				}
				return strings.Join(out, " ")
			case "timely":
				return fmt.Sprintf("%d of %d", q.Timely(start, server(t, d)), q.Len())
			case "expired":
				var out []string
				for r := q.Expired(start, 20*time.Millisecond); r != nil; r = q.Expired(start, 20*time.Millisecond) {
					out = append(out, ids[r.Flow.CallerPort])
				}
				return fmt.Sprintf("expired: %s; waiting: %d", strings.Join(out, " "), q.Len())
			default:
				d.Fatalf(t, "unknown command")
				return ""
			}
		})
	})
}

// server reads the arguments of a server: serviceMillis=N, slots=N.
func server(t *testing.T, d *datadriven.TestData) Server {
	service, slots := 20, 2
	d.MaybeScanArgs(t, "serviceMillis", &service)
	d.MaybeScanArgs(t, "slots", &slots)
	return Server{ServiceTime: time.Duration(service) * time.Millisecond, Slots: slots}
}

// request reads the arguments of a request: age=MILLIS, priority=N, target=MILLIS,
// timeout=MILLIS.
func request(t *testing.T, d *datadriven.TestData, now time.Time) *Request {
	age, priority, target, timeout := 0, 2, 100, 1500
	d.MaybeScanArgs(t, "age", &age)
	d.MaybeScanArgs(t, "priority", &priority)
	d.MaybeScanArgs(t, "target", &target)
	d.MaybeScanArgs(t, "timeout", &timeout)
	return &Request{
		SentAt: now.Add(-time.Duration(age) * time.Millisecond),
		Class:  steer.Class{Priority: uint8(priority), TargetMillis: uint16(target), TimeoutMillis: uint16(timeout)},
	}
}

// TestHeldPackets checks that repeated packets are held once, and that the limits of
// packets and of requests are kept.
func TestHeldPackets(t *testing.T) {
	var q Queue
	r := &Request{Flow: packet.Flow{CallerPort: 1}}
	q.Push(r, packet.Packet{Seq: 1}, []byte("a"))
	q.Add(r.Flow, packet.Packet{Seq: 1}, []byte("a"))
	q.Add(r.Flow, packet.Packet{Seq: 2}, []byte("b"))
	for i := range MaxPackets * 2 {
		q.Add(r.Flow, packet.Packet{Seq: uint32(i)}, []byte("c"))
	}
	count := 0
	r.Packets(func([]byte) { count++ })
	if count != MaxPackets {
		t.Errorf("%d packets held, want %d", count, MaxPackets)
	}
	for q.Len() < MaxRequests {
		q.Push(&Request{}, packet.Packet{}, nil)
	}
	if q.Push(&Request{}, packet.Packet{}, nil) {
		t.Errorf("a full queue accepted a request")
	}
}
