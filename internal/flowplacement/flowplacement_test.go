package flowplacement

import (
	"fmt"
	"math/rand/v2"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/datadriven"
)

// TestPlacement runs scripts that place flows by reports which are not renewed meanwhile.
// "candidates" sets what each balancer knows, one "NUMBER [FIELD=VALUE]..." on a line; "place"
// lets several balancers place flows and prints how many are offered first to each candidate.
func TestPlacement(t *testing.T) {
	datadriven.Walk(t, "testdata", func(t *testing.T, path string) {
		var known []Candidate
		datadriven.RunTest(t, path, func(t *testing.T, d *datadriven.TestData) string {
			switch d.Cmd {
			case "candidates":
				known = readCandidates(t, d)
				return ""
			case "place":
				return place(t, d, known)
			default:
				d.Fatalf(t, "unknown command")
				return ""
			}
		})
	})
}

func readCandidates(t *testing.T, d *datadriven.TestData) []Candidate {
	var list []Candidate
	for _, line := range strings.Split(strings.TrimSpace(d.Input), "\n") {
		words := strings.Fields(line)
		c := Candidate{ServiceTime: 0.02, Slots: 2, OwnZone: true, ReportAge: 200 * time.Millisecond}
		c.Index, _ = strconv.Atoi(words[0])
		for _, w := range words[1:] {
			key, value, _ := strings.Cut(w, "=")
			number, _ := strconv.Atoi(value)
			switch key {
			case "outstanding":
				c.Outstanding = number
			case "flows":
				c.Flows = number
			case "rate":
				c.Rate = float64(number)
			case "serviceMillis":
				c.ServiceTime = float64(number) / 1000
			case "faultMillis":
				c.FaultCost = float64(number) / 1000
			case "otherZone":
				c.OwnZone, c.ZoneCost = false, 0.004
			default:
				t.Fatalf("unknown word %q", w)
			}
		}
		list = append(list, c)
	}
	return list
}

// place places flows at several balancers in turn, which all have the same reports, and counts
// their first candidates.
func place(t *testing.T, d *datadriven.TestData, known []Candidate) string {
	flows, balancers, placement := 100, 20, ""
	d.MaybeScanArgs(t, "flows", &flows)
	d.MaybeScanArgs(t, "balancers", &balancers)
	d.ScanArgs(t, "placement", &placement)
	counts := make(map[int]int)
	for b := range balancers {
		order := Best
		if placement == "balanced" {
			order = NewPolicy(rand.New(rand.NewPCG(1, uint64(b)))).Order
		}
		placed := make(map[int]int)
		for range flows / balancers {
			list := append([]Candidate(nil), known...)
			for i := range list {
				list[i].Placed = placed[list[i].Index]
			}
			order(list)
			placed[list[0].Index]++
			counts[list[0].Index]++
		}
	}
	var out []string
	for _, c := range known {
		out = append(out, fmt.Sprintf("%d:%d", c.Index, counts[c.Index]))
	}
	return strings.Join(out, " ")
}
