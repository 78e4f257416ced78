package evenload

import (
	"cmp"
	"maps"
	"math"
	"math/rand/v2"
	"slices"

	"github.com/bergamotgw/bergamotgw/internal/flowplacement"
)

type candidates = []flowplacement.Candidate

// placement is a way to place flows.
type placement struct {
	// order returns the function that sorts the candidates of a flow.
	order func(*rand.Rand) func(candidates)
	// freeSlot is true if agents pass on the SYN of a flow for which no slot is free.
	freeSlot bool
}

// placements are the ways to place flows that are compared, by name: the two of the product,
// the baselines hash and random, and those that were weighed.
var placements = map[string]placement{
	"best":              {always(flowplacement.Best), false},
	"balanced":          {balanced, true},
	"hash":              {always(func(candidates) {}), false},
	"random":            {random, false},
	"two":               {two, false},
	"weighted":          {weighted, false},
	"corrected":         {always(corrected), false},
	"balancedHeld":      {balanced, false},
	"balancedCorrected": {balancedCorrected, true},
	"bestFreeSlot":      {always(flowplacement.Best), true},
	"randomFreeSlot":    {random, true},
	"twoFreeSlot":       {two, true},
}

func always(order func(candidates)) func(*rand.Rand) func(candidates) {
	return func(*rand.Rand) func(candidates) { return order }
}

func balanced(r *rand.Rand) func(candidates) {
	return flowplacement.NewPolicy(r).Order
}

func random(r *rand.Rand) func(candidates) {
	return func(l candidates) { shuffle(r, l) }
}

func shuffle(r *rand.Rand, l candidates) {
	r.Shuffle(len(l), func(i, j int) { l[i], l[j] = l[j], l[i] })
}

// two puts the better one of two random candidates first.
func two(r *rand.Rand) func(candidates) {
	return func(l candidates) {
		shuffle(r, l)
		n := min(2, len(l))
		flowplacement.Best(l[:n])
		flowplacement.Best(l[n:])
	}
}

// weighted draws the candidates one after the other, weighted by their free capacity.
func weighted(r *rand.Rand) func(candidates) {
	return func(l candidates) {
		sortBy(l, func(c flowplacement.Candidate) float64 {
			slots := float64(c.Slots)
			free := max(1-c.Rate*c.ServiceTime/slots, 0.03) * slots / c.ServiceTime
			return r.ExpFloat64()/free + c.ZoneCost + c.FaultCost
		})
	}
}

// corrected sorts the candidates by the delay that is expected now.
func corrected(l candidates) {
	perFlow, brief := flowMeans(l)
	sortBy(l, func(c flowplacement.Candidate) float64 { return correctedDelay(c, perFlow, brief) })
}

// balancedCorrected compares three random candidates, one of them of the own zone, by the delay
// that is expected now.
func balancedCorrected(r *rand.Rand) func(candidates) {
	return func(l candidates) {
		perFlow, brief := flowMeans(l)
		shuffle(r, l)
		if i := slices.IndexFunc(l, func(c flowplacement.Candidate) bool { return c.OwnZone }); i > 0 {
			l[0], l[i] = l[i], l[0]
		}
		sortBy(l[:min(3, len(l))], func(c flowplacement.Candidate) float64 { return correctedDelay(c, perFlow, brief) })
	}
}

// flowMeans returns the mean rate of requests of a flow, and for which share of its time it has
// one running: near 1 if each request has its own flow.
func flowMeans(l candidates) (perFlow, brief float64) {
	var rate, flows, busy float64
	for _, c := range l {
		rate += c.Rate
		flows += float64(c.Flows)
		busy += c.Rate * c.ServiceTime
	}
	if flows == 0 {
		return 0, 1
	}
	return rate / flows, min(busy/flows, 1)
}

// correctedDelay returns the expected delay from an estimate of the present load. The reported
// number of requests decays to its mean within some service times, flows placed since the
// report have sent as many requests as fit into its age, and the more a flow outlives its first
// request, the less the present number counts against the demand of all flows.
func correctedDelay(c flowplacement.Candidate, perFlow, brief float64) float64 {
	slots, age := float64(c.Slots), c.ReportAge.Seconds()
	demand := (1-brief)*float64(c.Flows+c.Placed)*perFlow + brief*c.Rate
	utilization := min(demand*c.ServiceTime/slots, 0.97)
	mean := utilization * slots
	requests := mean + (float64(c.Outstanding)-mean)*math.Exp(-age/c.ServiceTime*(1-utilization))
	requests += float64(c.Placed) * min(1, c.ServiceTime/max(age, 1e-9))
	present := max(requests+1-slots, 0) / slots
	later := utilization * utilization / (1 - utilization)
	return c.ServiceTime*(1+brief*present+(1-brief)*later) + c.ZoneCost + c.FaultCost
}

// sortBy sorts by a key that is computed once for each candidate.
func sortBy(l candidates, key func(flowplacement.Candidate) float64) {
	keys := make(map[int]float64, len(l))
	for _, c := range l {
		keys[c.Index] = key(c)
	}
	slices.SortStableFunc(l, func(a, b flowplacement.Candidate) int { return cmp.Compare(keys[a.Index], keys[b.Index]) })
}

// Placements returns the names of the ways to place flows.
func Placements() []string {
	return slices.Sorted(maps.Keys(placements))
}
