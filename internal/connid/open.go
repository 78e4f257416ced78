package connid

import (
	"crypto/aes"
	"crypto/cipher"
	"encoding/binary"
	"net/netip"
	"sync"
)

// plainBlocks reuses decryption buffers, which escape through cipher.Block.
var plainBlocks = sync.Pool{New: func() any { return new([aes.BlockSize]byte) }}

func open(block cipher.Block, sealed []byte) (agent netip.AddrPort, service uint32, ok bool) {
	plain := plainBlocks.Get().(*[aes.BlockSize]byte)
	defer plainBlocks.Put(plain)
	block.Decrypt(plain[:], sealed)
	if binary.BigEndian.Uint16(plain[checkOffset:]) != checkValue {
		return netip.AddrPort{}, 0, false
	}
	ip := netip.AddrFrom4([4]byte(plain[:portOffset]))
	port := binary.BigEndian.Uint16(plain[portOffset:])
	return netip.AddrPortFrom(ip, port), binary.BigEndian.Uint32(plain[serviceOffset:]), true
}
