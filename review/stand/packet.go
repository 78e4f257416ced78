package main

import (
	"crypto/hmac"
	"crypto/sha256"
	"encoding/binary"
	"fmt"
	"net/netip"
)

// Header length and flag bits of a packet.
const (
	headerLen  = 32
	flagSyn    = 64
	flagAck    = 128
	flagFin    = 8
	flagReset  = 2
	flagBounce = 1
)

// sumKey is the key of the checksum, which only clients and endpoints know.
var sumKey = []byte("key of both ends")

// packet is a decoded datagram.
type packet struct {
	src, dst netip.AddrPort
	flags    byte
	echo     uint32
	seq, ack uint32
	data     []byte
	sumOK    bool
	sumZero  bool
}

// flowKey identifies a flow by the client's end and the service address.
type flowKey struct{ client, service netip.AddrPort }

func (k flowKey) String() string { return fmt.Sprintf("%s>%s", k.client, k.service) }

func (p packet) has(flag byte) bool { return p.flags&flag != 0 }

// encode writes the packet with its checksum.
func (p packet) encode() []byte {
	raw := make([]byte, headerLen+len(p.data))
	binary.BigEndian.PutUint16(raw, uint16(len(p.data)))
	binary.BigEndian.PutUint32(raw[6:], p.echo)
	dst, src := p.dst.Addr().As4(), p.src.Addr().As4()
	copy(raw[10:], dst[:])
	binary.BigEndian.PutUint16(raw[14:], p.dst.Port())
	binary.BigEndian.PutUint16(raw[16:], p.src.Port())
	copy(raw[18:], src[:])
	raw[22] = p.flags
	binary.BigEndian.PutUint32(raw[24:], p.seq)
	binary.BigEndian.PutUint32(raw[28:], p.ack)
	copy(raw[headerLen:], p.data)
	binary.BigEndian.PutUint32(raw[2:], checksum(raw))
	return raw
}

// checksum covers all fields except sum, echo, pad and BOUNCED.
func checksum(raw []byte) uint32 {
	b := append([]byte(nil), raw...)
	clear(b[2:10])
	b[22] &^= flagBounce
	b[23] = 0
	m := hmac.New(sha256.New, sumKey)
	m.Write(b)
	return binary.BigEndian.Uint32(m.Sum(nil)) | 1
}

func decode(raw []byte) (packet, bool) {
	if len(raw) < headerLen || int(binary.BigEndian.Uint16(raw)) != len(raw)-headerLen {
		return packet{}, false
	}
	sum := binary.BigEndian.Uint32(raw[2:])
	return packet{
		dst:     netip.AddrPortFrom(netip.AddrFrom4([4]byte(raw[10:])), binary.BigEndian.Uint16(raw[14:])),
		src:     netip.AddrPortFrom(netip.AddrFrom4([4]byte(raw[18:])), binary.BigEndian.Uint16(raw[16:])),
		flags:   raw[22],
		echo:    binary.BigEndian.Uint32(raw[6:]),
		seq:     binary.BigEndian.Uint32(raw[24:]),
		ack:     binary.BigEndian.Uint32(raw[28:]),
		data:    append([]byte(nil), raw[headerLen:]...),
		sumOK:   sum == checksum(raw),
		sumZero: sum == 0,
	}, true
}

// after reports whether sequence number a follows b.
func after(a, b uint32) bool { return int32(a-b) > 0 }

// nextSeq returns the sequence number after the packet.
func (p packet) nextSeq() uint32 {
	n := p.seq + uint32(len(p.data))
	if p.has(flagSyn) || p.has(flagFin) {
		n++
	}
	return n
}
