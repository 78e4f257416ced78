package balancer

// Reason is the outcome of a datagram: forwarded, or why it was dropped.
type Reason uint8

// Outcomes; all but Forwarded are drops.
const (
	Forwarded Reason = iota
	TooLong
	BadEnvelope
	BadHeader
	ForeignAgent
	UnknownID
	NotInitial
	UnknownAddress
	NoAgent
	SendFailed
	reasonCount
)

var reasonNames = [reasonCount]string{
	"forwarded", "tooLong", "badEnvelope", "badHeader", "foreignAgent",
	"unknownId", "notInitial", "unknownAddress", "noAgent", "sendFailed",
}

// String returns the name used in metrics and reports.
func (r Reason) String() string {
	return reasonNames[r]
}

// DropReasons returns all reasons for a drop.
func DropReasons() []Reason {
	var list []Reason
	for r := Forwarded + 1; r < reasonCount; r++ {
		list = append(list, r)
	}
	return list
}

// Drops returns how many datagrams were dropped for the reason since the start.
func (b *Balancer) Drops(r Reason) uint64 {
	return b.drops[r].Load()
}

func (b *Balancer) countDrop(r Reason) {
	if r != Forwarded {
		b.drops[r].Add(1)
	}
}
