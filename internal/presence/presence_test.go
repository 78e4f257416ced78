package presence

import (
	"fmt"
	"testing"
	"time"

	"github.com/cockroachdb/datadriven"
)

// TestPresence guards against the statement that a server has stopped which runs, against one that
// outlives its evidence, and against probes of a server that is known to run. Each command happens
// at a time in milliseconds: "listed" passes the start of the server that balancers list, "refused"
// the begin of a probe that was refused, "mayRun" evidence to the contrary, "unanswered" since when
// the server has left a packet unanswered. Each prints the server
// that has stopped, or why it may run, and whether a probe is due.
func TestPresence(t *testing.T) {
	datadriven.Walk(t, "testdata", func(t *testing.T, path string) {
		var p Presence
		datadriven.RunTest(t, path, func(t *testing.T, d *datadriven.TestData) string {
			var at, born, began int64
			var evidence string
			d.ScanArgs(t, "at", &at)
			now := time.UnixMilli(at)
			switch d.Cmd {
			case "listed":
				d.ScanArgs(t, "born", &born)
				p.RecordListed(born, now)
			case "refused":
				if began = at; d.HasArg("began") {
					d.ScanArgs(t, "began", &began)
				}
				p.RecordRefused(time.UnixMilli(began))
			case "mayRun":
				d.ScanArgs(t, "by", &evidence)
				p.RecordMayRun(Evidence(evidence), now)
			case "unanswered":
				var since int64
				d.ScanArgs(t, "since", &since)
				p.RecordUnanswered(time.UnixMilli(since))
			case "wait":
			default:
				d.Fatalf(t, "unknown command %q", d.Cmd)
			}
			return describe(&p, now)
		})
	})
}

func describe(p *Presence, now time.Time) string {
	probe := ""
	if p.ProbeDue(now) {
		probe = "; probe"
	}
	if born := p.Stopped(now); born != 0 {
		return fmt.Sprintf("server %d has stopped%s", born, probe)
	}
	if e := p.Evidence(now); e != None {
		return fmt.Sprintf("may run: %s%s", e, probe)
	}
	return "no server is listed" + probe
}
