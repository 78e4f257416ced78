package flowtable

import (
	"fmt"
	"testing"
	"time"

	"github.com/cockroachdb/datadriven"

	"github.com/bergamotgw/bergamotgw/internal/packet"
)

// TestEntry passes packets of one flow to its entry. caller and server pass a packet of that
// end, with syn, ack, fin, reset, seq=N, ackSeq=N and len=N, and print the results and the
// state of the entry. new adds a flow that is opened now, and learn one that is open already.
func TestEntry(t *testing.T) {
	datadriven.Walk(t, "testdata", func(t *testing.T, path string) {
		now := time.Unix(0, 0)
		table := NewTable()
		var e *Entry
		datadriven.RunTest(t, path, func(t *testing.T, d *datadriven.TestData) string {
			now = now.Add(10 * time.Millisecond)
			p := readPacket(t, d)
			switch d.Cmd {
			case "new":
				e = table.Add(packet.Flow{CallerPort: 1}, now)
				e.OpenedAt = now
				return ""
			case "learn":
				e = table.Add(packet.Flow{CallerPort: 1}, now)
				e.State = Open
				return ""
			case "caller":
				holds, starts := e.Matches(p), e.StartsRequest(p)
				if starts {
					e.Running = true
				}
				e.RecordCallerPacket(p, now)
				return fmt.Sprintf("holds=%t starts=%t state=%d", holds, starts, e.State)
			case "server":
				answer := e.RecordServerPacket(p, now)
				if answer {
					e.Running = false
				}
				return fmt.Sprintf("answer=%t state=%d", answer, e.State)
			case "age":
				return fmt.Sprintf("request sent %v ago, round trip %v", now.Sub(e.RequestSentAt(now)), e.RoundTrip)
			case "wait":
				now = now.Add(time.Minute)
				table.Sweep(now.Add(-3*time.Second), now.Add(-45*time.Second))
				return fmt.Sprintf("%d flows", table.Len())
			default:
				d.Fatalf(t, "unknown command")
				return ""
			}
		})
	})
}

// readPacket reads the arguments of a packet.
func readPacket(t *testing.T, d *datadriven.TestData) packet.Packet {
	seq, ackSeq, length := 0, 0, 0
	d.MaybeScanArgs(t, "seq", &seq)
	d.MaybeScanArgs(t, "ackSeq", &ackSeq)
	d.MaybeScanArgs(t, "len", &length)
	return packet.Packet{
		Syn: d.HasArg("syn"), Ack: d.HasArg("ack"), Fin: d.HasArg("fin"), Reset: d.HasArg("reset"),
		Seq: uint32(seq), AckSeq: uint32(ackSeq), Data: make([]byte, length),
	}
}
