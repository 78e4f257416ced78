package steer

import (
	"net/netip"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/bergamotgw/bergamotgw/internal/packet"
	"github.com/bergamotgw/bergamotgw/internal/position"
)

func drawAddress(t *rapid.T) netip.AddrPort {
	ip := [4]byte(rapid.SliceOfN(rapid.Byte(), 4, 4).Draw(t, "ip"))
	return netip.AddrPortFrom(netip.AddrFrom4(ip), rapid.Uint16().Draw(t, "port"))
}

func drawFlow(t *rapid.T) packet.Flow {
	return packet.ParseFlow(rapid.SliceOfN(rapid.Byte(), packet.FlowLen, packet.FlowLen).Draw(t, "flow"))
}

// TestEnvelopeRoundTrip checks that an envelope decodes to what was encoded, and
// that the packet behind it is untouched.
func TestEnvelopeRoundTrip(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		e := Envelope{
			Kind:      rapid.SampledFrom([]Kind{Forward, Return}).Draw(t, "kind"),
			Cached:    rapid.Bool().Draw(t, "cached"),
			MustAdmit: rapid.Bool().Draw(t, "take"), More: rapid.Bool().Draw(t, "more"), Direct: rapid.Bool().Draw(t, "direct"),
			FreeSlot: rapid.Bool().Draw(t, "freeSlot"),
			Page:     rapid.Byte().Draw(t, "page"), Attempt: rapid.Byte().Draw(t, "attempt"),
			ListVersion: rapid.Uint16().Draw(t, "list"),
			Class: Class{
				Priority: rapid.Byte().Draw(t, "priority"), TargetMillis: rapid.Uint16().Draw(t, "target"),
				TimeoutMillis: rapid.Uint16().Draw(t, "timeout"), Once: rapid.Bool().Draw(t, "once"),
			},
			Service: rapid.Uint32().Draw(t, "service"), Balancer: drawAddress(t),
			Best: NoBest, BestDelayMillis: rapid.Uint16().Draw(t, "delay"),
		}
		for range rapid.IntRange(1, MaxCandidates).Draw(t, "count") {
			e.Append(Candidate{Agent: drawAddress(t), Slots: rapid.Byte().Draw(t, "slots")})
		}
		e.Hop = rapid.Uint8Range(0, e.Count-1).Draw(t, "hop")
		raw := make([]byte, e.Len(), e.Len()+3)
		e.Put(raw)
		var got Envelope
		rest, ok := got.Parse(append(raw, "abc"...))
		if !ok || string(rest) != "abc" || got != e {
			t.Fatalf("decoded %t %q %+v, want %+v", ok, rest, got, e)
		}
		if got.Clear(); got != (Envelope{}) {
			t.Fatalf("cleared %+v", got)
		}
	})
}

// TestNoticesRoundTrip checks that reports, not-found notices and digests decode to what was
// encoded.
func TestNoticesRoundTrip(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		f := drawFlow(t)
		l := Load{
			State:       rapid.SampledFrom([]State{Up, Leaving, Silent}).Draw(t, "state"),
			Outstanding: rapid.Uint16().Draw(t, "outstanding"), Flows: rapid.Uint16().Draw(t, "flows"),
			Failures:          float32(rapid.Byte().Draw(t, "failures")) / failuresUnit,
			RequestsPerSecond: float32(rapid.IntRange(0, 10_000).Draw(t, "rate")),
			ServiceTime:       time.Duration(rapid.IntRange(0, 10_000_000).Draw(t, "serviceTime")) * time.Microsecond,
			Service:           rapid.Uint32().Draw(t, "service"),
		}
		var b [ReportLen]byte
		l.TableComplete, l.StoppedServer = rapid.Bool().Draw(t, "tableComplete"), rapid.Uint32().Draw(t, "stoppedServer")
		PutReport(b[:], l, f)
		if gotLoad, gotFlow, ok := ParseReport(b[:]); !ok || gotLoad != l || gotFlow != f {
			t.Fatalf("report %t %+v %v, want %+v %v", ok, gotLoad, gotFlow, l, f)
		}
		l.TableComplete, l.StoppedServer = false, 0
		if gotLoad, _, ok := ParseReport(b[:reportFlagsOffset]); !ok || gotLoad != l {
			t.Fatalf("report without flags %t %+v, want %+v", ok, gotLoad, l)
		}
		l.Service = 0
		if gotLoad, _, ok := ParseReport(b[:minReportLen]); !ok || gotLoad != l {
			t.Fatalf("report without a service %t %+v, want %+v", ok, gotLoad, l)
		}
		var notFound [NotFoundLen]byte
		notice := NotFoundNotice{Flow: f, Searched: true, Attempt: 3, ListVersion: 0x1234}
		notice.Put(notFound[:])
		if got, ok := ParseNotFound(notFound[:]); !ok || got != notice {
			t.Fatalf("not-found notice %t %+v, want %+v", ok, got, notice)
		}
		fresh := Freshness{
			RoutesVersion: rapid.Uint64().Draw(t, "version"), Position: position.Position{Epoch: rapid.Uint64().Draw(t, "epoch"), Revision: rapid.Uint64().Draw(t, "revision")},
			Age: time.Duration(rapid.IntRange(0, 1<<30).Draw(t, "age")) * time.Millisecond, Sum: rapid.Uint64().Draw(t, "sum"),
			Leaving: rapid.Bool().Draw(t, "leaving"), Corroborated: rapid.Bool().Draw(t, "corroborated"),
			Replica: rapid.Bool().Draw(t, "replica"), StatesEpoch: true,
			FormerVersion: rapid.Uint64().Draw(t, "formerVersion"), Number: rapid.Uint16().Draw(t, "number"), Echo: rapid.Uint16().Draw(t, "echo"),
			ProvedAge: time.Duration(rapid.IntRange(0, maxProvedAge-1).Draw(t, "provedAge")) * time.Millisecond, Proved: true,
			ReplyRequested: rapid.Bool().Draw(t, "reply"),
		}
		fresh.EvacuationsAt = position.Position{Epoch: rapid.Uint64().Draw(t, "evacuationsEpoch"), Revision: rapid.Uint64Min(1).Draw(t, "evacuationsRevision")}
		members := []netip.AddrPort{drawAddress(t), drawAddress(t)}
		var digest [DigestMaxLen]byte
		n := PutDigest(digest[:], fresh, members)
		got, gotMembers, ok := ParseDigest(digest[:n])
		if !ok || got != fresh || len(gotMembers) != 2 || gotMembers[1] != members[1] {
			t.Fatalf("digest %t %+v %v", ok, got, gotMembers)
		}
		older := fresh
		older.FormerVersion, older.Number, older.Echo, older.ProvedAge, older.Proved = 0, 0, 0, 0, false
		if got, _, ok := ParseDigest(digest[:n-proofLen]); !ok || got != older {
			t.Fatalf("digest without a proof %t %+v, want %+v", ok, got, older)
		}
		fresh.EvacuationsAt = position.Position{}
		if short := PutDigest(digest[:], fresh, members); short != n-evacuationsLen {
			t.Fatalf("digest without evacuations of %d bytes, want %d", short, n-evacuationsLen)
		}
		if got, _, ok := ParseDigest(digest[:n-evacuationsLen]); !ok || got != fresh {
			t.Fatalf("digest without evacuations %t %+v, want %+v", ok, got, fresh)
		}
		older.EvacuationsAt, older.Epoch, older.StatesEpoch, n = position.Position{}, 0, false, n-evacuationsLen-proofLen
		if got, _, ok := ParseDigest(digest[:n-epochLen]); !ok || got != older {
			t.Fatalf("digest without epoch %t %+v, want %+v", ok, got, older)
		}
	})
}

// TestPingRoundTrip checks that a ping decodes to the notice that was encoded, and that one of an
// older program, which is shorter, states nothing.
func TestPingRoundTrip(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var n Notice
		if rapid.Bool().Draw(t, "evacuationsKnown") {
			n.EvacuationsKnown, n.Evacuated = true, rapid.Bool().Draw(t, "evacuated")
			n.EvacuationsAt = position.Position{Epoch: rapid.Uint64().Draw(t, "epoch"), Revision: rapid.Uint64().Draw(t, "revision")}
		}
		if rapid.Bool().Draw(t, "serverKnown") {
			n.ServerKnown, n.Born = true, rapid.Int64Min(0).Draw(t, "born")
			n.Service, n.CommonStart = rapid.Uint32().Draw(t, "service"), rapid.Bool().Draw(t, "commonStart")
			n.Warmup = time.Duration(rapid.Uint32().Draw(t, "warmup")) * time.Millisecond
			n.ColdFlowsPerSecond = float64(rapid.IntRange(0, 1<<20).Draw(t, "coldFlows"))
		}
		var b [PingLen]byte
		PutPing(b[:], n)
		if got, ok := ParsePing(b[:]); !ok || got != n {
			t.Fatalf("ping %t %+v, want %+v", ok, got, n)
		}
		if got, ok := ParsePing(b[:minPingLen]); !ok || got != (Notice{}) {
			t.Fatalf("ping of an older program %t %+v", ok, got)
		}
	})
}

// TestQueryRoundTrip checks that queries and answers decode to what was encoded, and that
// truncated ones are rejected.
func TestQueryRoundTrip(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		id := rapid.Uint32().Draw(t, "id")
		var flows []QueriedFlow
		var holdings []Holding
		for range rapid.IntRange(0, MaxQueried).Draw(t, "count") {
			flows = append(flows, QueriedFlow{Flow: drawFlow(t), Ack: rapid.Bool().Draw(t, "ack"), AckSeq: rapid.Uint32().Draw(t, "seq")})
			holdings = append(holdings, rapid.SampledFrom([]Holding{NotHeld, Held, Unknown}).Draw(t, "holding"))
		}
		var b [QueryMaxLen]byte
		n := PutQuery(b[:], id, flows)
		if gotID, got, ok := ParseQuery(b[:n]); !ok || gotID != id || !slices.Equal(got, flows) {
			t.Fatalf("query %t %d %v, want %d %v", ok, gotID, got, id, flows)
		}
		if _, _, ok := ParseQuery(b[:n-1]); ok {
			t.Fatal("a truncated query was decoded")
		}
		n = PutAnswer(b[:], id, holdings)
		if gotID, got, ok := ParseAnswer(b[:n]); !ok || gotID != id || !slices.Equal(got, holdings) {
			t.Fatalf("answer %t %d %v, want %d %v", ok, gotID, got, id, holdings)
		}
		if _, _, ok := ParseAnswer(b[:n-1]); ok {
			t.Fatal("a truncated answer was decoded")
		}
	})
}

// FuzzParse checks that no datagram makes a decoder panic.
func FuzzParse(f *testing.F) {
	f.Add([]byte{magic, byte(Forward)})
	f.Add(make([]byte, MaxLen))
	f.Fuzz(func(_ *testing.T, raw []byte) {
		var e Envelope
		if _, ok := e.Parse(raw); ok {
			_ = e.Self()
		}
		_, _, _ = ParseReport(raw)
		_, _ = ParsePing(raw)
		_, _ = ParseNotFound(raw)
		_, _, _ = ParseDigest(raw)
		_, _, _ = ParseQuery(raw)
		_, _, _ = ParseAnswer(raw)
	})
}
