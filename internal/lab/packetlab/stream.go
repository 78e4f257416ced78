package packetlab

import (
	"time"

	"github.com/bergamotgw/bergamotgw/internal/packet"
)

// Parameters of the emulated transport protocol: the maximum bytes of data in a packet, the
// maximum number of unacknowledged packets, the shortest and the longest time before a
// retransmission, and the number of retransmissions in a row after which a flow fails.
const (
	maxData         = 1200
	window          = 16
	firstRetransmit = 200 * time.Millisecond
	lastRetransmit  = 1600 * time.Millisecond
	maxRetransmits  = 8
)

// stream is one end of a flow: it delivers data reliably and in order.
type stream struct {
	lab *Lab
	// send transmits a packet towards the other end.
	send func(p packet.Packet)
	// received is called with data in order.
	received func(data []byte)
	// failed is called when the other end does not acknowledge a packet after maxRetransmits
	// retransmissions.
	failed func()

	// next is the sequence number of the next data to queue, acked the first one that the
	// other end has not acknowledged, and expected the next one to be received.
	next, acked, expected uint32
	// unsent holds the queued packets, and unacked those that were sent and not acknowledged,
	// in order.
	unsent, unacked []packet.Packet
	outOfOrder      map[uint32][]byte
	// pendingAcks counts packets with data received since the last acknowledgement.
	pendingAcks int
	retries     int
	// timer counts the starts of the retransmission timer; only the latest one is in force.
	timer  int
	closed bool
}

// write queues data and sends as much of it as the window allows.
func (s *stream) write(data []byte) {
	for len(data) > 0 {
		n := min(len(data), maxData)
		s.unsent = append(s.unsent, packet.Packet{Ack: true, Seq: s.next, Data: data[:n]})
		s.next += uint32(n)
		data = data[n:]
	}
	s.flush()
}

// flush sends queued packets until the window is full.
func (s *stream) flush() {
	for len(s.unsent) > 0 && len(s.unacked) < window {
		p := s.unsent[0]
		s.unsent = s.unsent[1:]
		s.unacked = append(s.unacked, p)
		s.transmit(p)
		if len(s.unacked) == 1 {
			s.arm(firstRetransmit)
		}
	}
}

// transmit sends a packet with the current acknowledgement.
func (s *stream) transmit(p packet.Packet) {
	p.AckSeq = s.expected
	s.send(p)
}

// arm restarts the retransmission timer. The time doubles with each retransmission, up to
// lastRetransmit.
func (s *stream) arm(d time.Duration) {
	s.timer++
	timer := s.timer
	s.lab.after(d, func() {
		if s.closed || timer != s.timer || len(s.unacked) == 0 {
			return
		}
		if s.retries++; s.retries > maxRetransmits {
			s.failed()
			return
		}
		s.transmit(s.unacked[0])
		s.arm(min(2*d, lastRetransmit))
	})
}

// handle handles a packet from the other end of an open flow. It acknowledges every second
// packet, and each that is not full, immediately.
func (s *stream) handle(p packet.Packet) {
	if packet.SeqAfter(p.AckSeq, s.acked) {
		s.acked, s.retries = p.AckSeq, 0
		for len(s.unacked) > 0 && !packet.SeqAfter(s.unacked[0].NextSeq(), s.acked) {
			s.unacked = s.unacked[1:]
		}
		s.arm(firstRetransmit)
		s.flush()
	}
	if len(p.Data) == 0 {
		return
	}
	s.deliver(p)
	if s.pendingAcks++; s.pendingAcks >= 2 || len(p.Data) < maxData {
		s.pendingAcks = 0
		s.transmit(packet.Packet{Ack: true, Seq: s.next})
	}
}

// deliver stores the data of a packet, and delivers all data that is next in order.
func (s *stream) deliver(p packet.Packet) {
	if s.outOfOrder == nil {
		s.outOfOrder = make(map[uint32][]byte)
	}
	if !packet.SeqAfter(s.expected, p.Seq) {
		s.outOfOrder[p.Seq] = p.Data
	}
	for data, ok := s.outOfOrder[s.expected]; ok; data, ok = s.outOfOrder[s.expected] {
		delete(s.outOfOrder, s.expected)
		s.expected += uint32(len(data))
		s.received(data)
	}
}
