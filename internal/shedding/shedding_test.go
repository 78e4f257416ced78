package shedding

import (
	"fmt"
	"testing"
	"time"

	"github.com/cockroachdb/datadriven"
	"github.com/jonboulle/clockwork"

	"github.com/bergamotgw/bergamotgw/internal/packet"
	"github.com/bergamotgw/bergamotgw/internal/steer"
)

// TestShedding runs scripts of new flows at one server. "flows" offers some of one kind, from one
// caller each or all from one address; the server admits at once those without "wait", and decides
// about the others. It prints the reasons of refusals; "reset" marks callers as refused before.
func TestShedding(t *testing.T) {
	datadriven.Walk(t, "testdata", func(t *testing.T, path string) {
		clock := clockwork.NewFakeClockAt(time.Unix(1000, 0))
		s := NewShedder(clock)
		callers := 0
		datadriven.RunTest(t, path, func(t *testing.T, d *datadriven.TestData) string {
			if d.Cmd == "wait" {
				wait, err := time.ParseDuration(d.CmdArgs[0].Key)
				if err != nil {
					t.Fatal(err)
				}
				clock.Advance(wait)
				return ""
			}
			count, priority, objective, wait, caller, port := 1, 2, 100, 0, 0, 80
			d.MaybeScanArgs(t, "count", &count)
			d.MaybeScanArgs(t, "priority", &priority)
			d.MaybeScanArgs(t, "objective", &objective)
			d.MaybeScanArgs(t, "wait", &wait)
			d.MaybeScanArgs(t, "caller", &caller)
			d.MaybeScanArgs(t, "port", &port)
			class := steer.Class{Priority: uint8(priority), TargetMillis: uint16(objective)}
			outcomes := make(map[string]int)
			for range count {
				callers++
				f := packet.Flow{CallerIP: [4]byte{10, 0, byte(callers >> 8), byte(callers)}, CallerPort: uint16(callers), ServicePort: uint16(port)}
				if caller > 0 {
					f.CallerIP = [4]byte{10, 1, 0, byte(caller)}
				}
				s.RecordOffered(class, clock.Now())
				o := Offer{Class: class, Flow: f, Wait: time.Duration(wait) * time.Millisecond, ServiceTime: 20 * time.Millisecond}
				reason := s.Decide(o, clock.Now())
				if reason == None {
					s.RecordAdmitted(class, clock.Now())
					outcomes["admitted"]++
					continue
				}
				s.RecordRefused(f)
				outcomes[string(reason)]++
			}
			return fmt.Sprint(outcomes)[len("map"):]
		})
	})
}

// TestManyKinds guards against memory that grows with the number of classes that envelopes name.
func TestManyKinds(t *testing.T) {
	clock := clockwork.NewFakeClock()
	s := NewShedder(clock)
	for n := range 1000 {
		s.RecordOffered(steer.Class{TimeoutMillis: uint16(n)}, clock.Now())
	}
	if len(s.kinds) > maxKinds {
		t.Errorf("%d kinds kept, want at most %d", len(s.kinds), maxKinds)
	}
	clock.Advance(10 * memory)
	late := steer.Class{Priority: 2, TargetMillis: 100}
	s.RecordOffered(late, clock.Now())
	if len(s.kinds) != 1 {
		t.Errorf("%d kinds kept after a pause, want the new one alone", len(s.kinds))
	}
}
