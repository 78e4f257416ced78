package packetlab

import (
	"bytes"
	"fmt"
	"slices"
	"strings"
	"testing"

	"github.com/cockroachdb/datadriven"
	"github.com/samber/lo"

	"github.com/bergamotgw/bergamotgw/internal/explain"
	"github.com/bergamotgw/bergamotgw/internal/packet"
)

// TestExplain runs the scripts in testdata/explain: failures with known causes. From the logs
// alone, explain must determine the cause of the requests that failed. The command causes
// takes the names of the right causes, and the least share of the failed flows that must have
// one of them. With "seen", flows of which no process logged anything do not count.
func TestExplain(t *testing.T) {
	datadriven.Walk(t, "testdata/explain", func(t *testing.T, path string) {
		var l *Lab
		var log bytes.Buffer
		datadriven.RunTest(t, path, func(t *testing.T, d *datadriven.TestData) string {
			switch d.Cmd {
			case "deploy":
				l = deploy(t, d)
				return ""
			case "log":
				l.logInto(&log)
				for i := range l.balancers {
					l.RestartBalancer(i, 0)
				}
				for i := range l.servers {
					l.RestartAgent(i, 0)
				}
				return ""
			case "causes":
				return causes(t, d, l, &log)
			default:
				return step(t, d, l)
			}
		})
	})
}

// causes explains the flows that have failed since the last call, from the whole log: a flow may
// fail long after its last line.
func causes(t *testing.T, d *datadriven.TestData, l *Lab, log *bytes.Buffer) string {
	t.Helper()
	var text string
	var least float64
	d.ScanArgs(t, "share", &text)
	if _, err := fmt.Sscan(text, &least); err != nil {
		t.Fatal(err)
	}
	right := strings.Fields(d.Input)
	lines, err := explain.Read(bytes.NewReader(log.Bytes()))
	if err != nil {
		t.Fatal(err)
	}
	if len(l.failedFlows) == 0 {
		return "no request has failed"
	}
	causeCounts := lo.CountValues(lo.Map(l.failedFlows, func(f packet.Flow, _ int) string {
		return explain.NewHistory(lines, f.String()).Cause.Name
	}))
	t.Logf("%s: %d flows: %v", d.Pos, len(l.failedFlows), causeCounts)
	explained := lo.SumBy(right, func(name string) int { return causeCounts[name] })
	failedFlows := len(l.failedFlows)
	if d.HasArg("seen") {
		failedFlows -= causeCounts["unknown"]
	}
	share := float64(explained) / float64(failedFlows)
	l.failedFlows = nil
	if share < least {
		names := lo.Keys(causeCounts)
		slices.Sort(names)
		return fmt.Sprintf("%.2f of the flows explained; causes found: %v", share, names)
	}
	return "explained"
}
