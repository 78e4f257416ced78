package explain

import (
	"fmt"

	"github.com/samber/lo"
)

// Cause is what decided the outcome of a flow or request.
type Cause struct {
	// Name identifies the cause.
	Name string `json:"name"`
	// Text describes the cause to an operator.
	Text string `json:"text"`
}

// rule identifies a cause by the event of a log line.
type rule struct {
	event string
	// matches restricts the rule to some lines of the event; nil matches all of them.
	matches func(l Line) bool
	name    string
	text    func(l Line) string
}

// rules returns the rules in order of precedence: the first one that matches any line of a
// history gives its cause. If several lines match, the latest one is used.
func rules() []rule {
	return []rule{
		{event: "flowRefused", matches: reason("overload"), name: "refusedOverload", text: func(l Line) string {
			return fmt.Sprintf("refused, not run: every candidate server expected a delay beyond the timeout (%v ms of %v ms at %s)",
				l.Fields["expectedDelay"], l.Fields["timeout"], l.VM)
		}},
		{event: "flowRefused", matches: reason("noServer"), name: "refusedNoServer", text: func(l Line) string {
			return fmt.Sprintf("refused, not run: %s had no server of service %v", l.VM, l.Fields["service"])
		}},
		{event: "flowRefused", matches: reason("evacuated"), name: "refusedEvacuated", text: func(l Line) string {
			return fmt.Sprintf("refused, not run: every server that %s could have offered the flow to was in an evacuated availability zone", l.VM)
		}},
		{event: "flowRefused", matches: reason("priority"), name: "refusedPriority", text: func(l Line) string {
			return fmt.Sprintf("refused, not run: at %s it would have waited %v ms and missed its objective of %v ms, while kinds of higher priority than %v competed",
				l.VM, l.Fields["expectedDelay"], l.Fields["objectiveMillis"], l.Fields["priority"])
		}},
		{event: "flowRefused", matches: reason("retry"), name: "refusedRetry", text: func(l Line) string {
			return fmt.Sprintf("refused, not run: at %s it would have waited %v ms and missed its objective of %v ms, and its caller had been refused within the last seconds",
				l.VM, l.Fields["expectedDelay"], l.Fields["objectiveMillis"])
		}},
		{event: "flowRefused", matches: reason("coldServers"), name: "refusedCold", text: func(l Line) string {
			return fmt.Sprintf("refused, not run: the cold server beside %s had received %v new flows within a second, of %v a second that it accepts, and no other candidate was left",
				l.VM, l.Fields["inSecond"], l.Fields["perSecond"])
		}},
		{event: "noRoute", name: "noRoute", text: func(l Line) string {
			return fmt.Sprintf("no route: version %v of the routes at %s does not have the address", l.Fields["routes"], l.VM)
		}},
		{event: "requestExpired", name: "expiredWaiting", text: func(l Line) string {
			return fmt.Sprintf("not run: waited %v ms at %s behind %v running and %v waiting requests, and could no longer be answered in time",
				l.Fields["age"], l.VM, l.Fields["running"], l.Fields["waiting"])
		}},
		{event: "flowReset", matches: reason("serverRestarted"), name: "resetServerRestarted", text: func(l Line) string {
			return fmt.Sprintf("reset: the server beside %s no longer holds a flow that it held before, so it has restarted; a request that it was processing may have run", l.VM)
		}},
		{event: "requestDelivered", name: "deliveredUnanswered", text: func(l Line) string {
			return fmt.Sprintf("the server beside %s received the request after a wait of %v ms, and no line records an answer: the server or its agent was lost; the request may have run",
				l.VM, l.Fields["waited"])
		}},
		{event: "flowReset", matches: reason("notHeldAnywhere"), name: "resetNotHeld", text: func(l Line) string {
			return "reset: the balancer had no agent for the flow, and no server of the service holds it"
		}},
		{event: "requestFailed", name: "serverFailed", text: func(l Line) string {
			return fmt.Sprintf("the server beside %s answered with status %v after %v ms", l.VM, l.Fields["status"], l.Fields["server"])
		}},
		{event: "requestReset", name: "serverReset", text: func(l Line) string {
			return fmt.Sprintf("the server beside %s reset the request after %v ms; the request may have run", l.VM, l.Fields["server"])
		}},
		{event: "requestOverdue", name: "serverOverdue", text: func(l Line) string {
			return fmt.Sprintf("the server beside %s did not answer the request within %v ms; the request may have run", l.VM, l.Fields["server"])
		}},
		{event: "requestAbandoned", matches: held, name: "abandonedWaiting", text: func(l Line) string {
			return fmt.Sprintf("not run: its caller ended the flow while the request waited at %s behind %v running and %v waiting requests",
				l.VM, l.Fields["running"], l.Fields["waiting"])
		}},
		{event: "requestAbandoned", name: "abandonedRunning", text: func(l Line) string {
			return fmt.Sprintf("its caller ended the flow when the server beside %s had processed the request for %v ms, after a wait of %v ms; the request may have run",
				l.VM, l.Fields["server"], l.Fields["waited"])
		}},
		{event: "flowNotPlaced", name: "notPlaced", text: func(l Line) string {
			return fmt.Sprintf("not run: %s had no server of service %v that admits new flows, and waited for one to return", l.VM, l.Fields["service"])
		}},
		{event: "coldLimitReached", matches: outcome("dropped"), name: "droppedCold", text: func(l Line) string {
			return fmt.Sprintf("not run: the cold server beside %s had received %v new flows within a second and awaited a copy of the SYN, which did not arrive or found no room",
				l.VM, l.Fields["inSecond"])
		}},
		{event: "flowNotFound", name: "lost", text: func(Line) string {
			return "lost: none of the agents that answered holds the flow, and some did not answer"
		}},
		{event: "requestLate", matches: waitedLonger, name: "lateWaiting", text: func(l Line) string {
			return fmt.Sprintf("late: %v ms, of which %v ms passed before the server beside %s received the request", l.Fields["age"], l.Fields["waited"], l.VM)
		}},
		{event: "requestLate", name: "lateServer", text: func(l Line) string {
			return fmt.Sprintf("late: %v ms, of which the server beside %s took %v ms", l.Fields["age"], l.VM, l.Fields["server"])
		}},
		{event: "requestAnswered", name: "answered", text: func(l Line) string {
			return fmt.Sprintf("answered in time, after %v ms", l.Fields["age"])
		}},
	}
}

func reason(want string) func(Line) bool {
	return func(l Line) bool { return l.Fields["reason"] == want }
}

func outcome(want string) func(Line) bool {
	return func(l Line) bool { return l.Fields["outcome"] == want }
}

func held(l Line) bool {
	return l.Fields["held"] == true
}

func waitedLonger(l Line) bool {
	waited, _ := l.Fields["waited"].(float64)
	server, _ := l.Fields["server"].(float64)
	return waited > server
}

// outcomes are the events that record the outcome of a request that was delivered to a
// server.
var outcomes = []string{
	"requestAnswered", "requestLate", "requestFailed", "requestReset", "requestOverdue", "requestAbandoned",
}

// latestRequest removes the deliveries and answers of earlier requests of a flow. It also
// removes the delivery of the latest request if a later line records its outcome.
func latestRequest(lines []Line) []Line {
	_, delivered, ok := lo.FindLastIndexOf(lines, func(l Line) bool { return l.Event == "requestDelivered" })
	if !ok {
		return lines
	}
	finished := lo.ContainsBy(lines[delivered:], func(l Line) bool { return lo.Contains(outcomes, l.Event) })
	return lo.Filter(lines, func(l Line, i int) bool {
		switch l.Event {
		case "requestDelivered":
			return i == delivered && !finished
		case "requestAnswered", "requestLate":
			return i > delivered
		default:
			return true
		}
	})
}

// findCause returns the cause of a history with at least one line.
func findCause(lines []Line) Cause {
	lines = latestRequest(lines)
	for _, r := range rules() {
		found, _, ok := lo.FindLastIndexOf(lines, func(l Line) bool {
			return l.Event == r.event && (r.matches == nil || r.matches(l))
		})
		if ok {
			return Cause{Name: r.name, Text: r.text(found)}
		}
	}
	if _, ok := lo.Find(lines, func(l Line) bool { return l.Event == "flowSearched" }); ok {
		return Cause{Name: "searching", Text: "the balancer searched for the flow and received no answer: the agent of the flow was down or unreachable"}
	}
	return Cause{Name: "unanswered", Text: "placed, and no line records an answer: the agent or its server was down, or the line was suppressed (linesSuppressed)"}
}
