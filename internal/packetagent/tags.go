package packetagent

import "github.com/bergamotgw/bergamotgw/internal/steer"

// tagRingSize is how many deliveries are stored; a bounce arrives within a millisecond,
// during which few packets are delivered.
const tagRingSize = 1024

// tagRing stores the envelopes of the latest packets delivered to the server, which may
// bounce them. A tag is the number of a delivery; 0 means no tag.
type tagRing struct {
	next    uint32
	entries [tagRingSize]tagEntry
}

type tagEntry struct {
	tag      uint32
	envelope []byte
}

// store stores an envelope and returns its tag.
func (r *tagRing) store(e *steer.Envelope) uint32 {
	r.next++
	if r.next == 0 {
		r.next = 1
	}
	s := &r.entries[r.next%tagRingSize]
	s.tag = r.next
	if cap(s.envelope) < e.Len() {
		s.envelope = make([]byte, e.Len())
	}
	s.envelope = s.envelope[:e.Len()]
	e.Put(s.envelope)
	return r.next
}

// take parses the envelope of a tag into e, and frees its entry. It returns false if the
// tag is not stored any more.
func (r *tagRing) take(tag uint32, e *steer.Envelope) bool {
	s := &r.entries[tag%tagRingSize]
	if tag == 0 || s.tag != tag {
		return false
	}
	s.tag = 0
	_, ok := e.Parse(s.envelope)
	return ok
}
