package balancer

// Reason tells what became of a datagram.
type Reason uint8

// Reasons; all but Forwarded are drops.
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
	reasons
)

var reasonNames = [reasons]string{
	"forwarded", "tooLong", "badEnvelope", "badHeader", "foreignAgent",
	"unknownId", "notInitial", "unknownAddress", "noAgent", "sendFailed",
}

// String returns the name used in metrics and reports.
func (r Reason) String() string {
	return reasonNames[r]
}

// DropReasons returns every reason for a drop.
func DropReasons() []Reason {
	var list []Reason
	for r := Forwarded + 1; r < reasons; r++ {
		list = append(list, r)
	}
	return list
}

// Drops returns how many datagrams were dropped for the reason.
func (b *Balancer) Drops(r Reason) uint64 {
	return b.drops[r].Load()
}

func (b *Balancer) drop(r Reason) {
	if r != Forwarded {
		b.drops[r].Add(1)
	}
}
