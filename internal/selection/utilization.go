package selection

import "time"

// Utilization describes how evenly the agents are loaded whose reports are current, as far as
// they may be offered new flows. It is zero if there are none.
type Utilization struct {
	// Max is the highest utilization of the slots of a server.
	Max float64
	// Imbalance is the highest utilization of a server divided by the mean of its service, of the
	// service where that is highest; 1 if all servers of each service are equally loaded.
	Imbalance float64
	// ReportAge is the mean age of the reports.
	ReportAge time.Duration
}

// Utilization returns how evenly the agents are loaded.
func (s *Selection) Utilization(now time.Time) Utilization {
	var u Utilization
	var reports int
	var ages time.Duration
	for _, agents := range s.byService {
		var highest, sum float64
		var count int
		for _, a := range agents {
			age := now.Sub(a.LastReportAt)
			if !s.usable(a) || age > inUsePeriod {
				continue
			}
			used := float64(a.Load.RequestsPerSecond) * a.serviceTime(now) / float64(max(a.Server.Slots, 1))
			highest, sum = max(highest, used), sum+used
			ages += age
			count++
		}
		reports += count
		u.Max = max(u.Max, highest)
		if sum > 0 {
			u.Imbalance = max(u.Imbalance, highest*float64(count)/sum)
		}
	}
	if reports > 0 {
		u.ReportAge = ages / time.Duration(reports)
	}
	return u
}
