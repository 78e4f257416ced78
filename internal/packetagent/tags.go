package packetagent

import "github.com/bergamotgw/bergamotgw/internal/steer"

// tagSlots is how many deliveries are remembered; a bounce comes back within a
// millisecond, during which few packets are delivered.
const tagSlots = 1024

// tagRing remembers the envelopes of the latest packets that the server may
// bounce. A tag is the number of a delivery; 0 is none.
type tagRing struct {
	next  uint32
	slots [tagSlots]tagged
}

type tagged struct {
	tag      uint32
	envelope []byte
}

// remember stores an envelope and returns its tag.
func (r *tagRing) remember(e *steer.Envelope) uint32 {
	r.next++
	if r.next == 0 {
		r.next = 1
	}
	s := &r.slots[r.next%tagSlots]
	s.tag = r.next
	if cap(s.envelope) < e.Len() {
		s.envelope = make([]byte, e.Len())
	}
	s.envelope = s.envelope[:e.Len()]
	e.Put(s.envelope)
	return r.next
}

// recall returns the envelope of a tag.
func (r *tagRing) recall(tag uint32, e *steer.Envelope) bool {
	s := &r.slots[tag%tagSlots]
	if tag == 0 || s.tag != tag {
		return false
	}
	s.tag = 0
	_, ok := e.Parse(s.envelope)
	return ok
}
