// Package connid encodes the address of an agent in QUIC connection IDs, similar
// to draft-ietf-quic-load-balancers: one AES block that only holders of the key
// can encrypt or decrypt.
package connid

import (
	"crypto/aes"
	"crypto/cipher"
	"crypto/rand"
	"encoding/binary"
	"net/netip"

	"github.com/ansel1/merry/v2"
)

// Sizes, in bytes.
const (
	// Len is the length of every connection ID.
	Len = 1 + aes.BlockSize
	// KeyLen is the length of a key.
	KeyLen = 16
)

// Epochs is the number of key epochs that a connection ID can distinguish.
const Epochs = 4

const epochMask = Epochs - 1

// checkValue is a constant in every block; a block that does not decrypt to it was
// encrypted with another key.
const checkValue uint16 = 0xb67a

// Offsets of the fields in a decrypted block: IPv4 address, port, service,
// nonce, check.
const (
	portOffset    = 4
	serviceOffset = 6
	nonceOffset   = 10
	checkOffset   = 14
)

// Codec seals and opens connection IDs. It is safe for concurrent use.
type Codec struct {
	// blocks holds the cipher of each epoch; nil where no key is set.
	blocks [Epochs]cipher.Block
	// epoch selects the key for sealing; blocks[epoch] is never nil.
	epoch uint8
}

// NewCodec returns a codec that decrypts with every key and encrypts with the key
// of the given epoch. Map keys are epochs, from 0 to Epochs-1. It fails if an epoch
// is out of range, a key is not KeyLen bytes long, or the given epoch has no key.
func NewCodec(keys map[uint8][]byte, epoch uint8) (*Codec, error) {
	c := &Codec{epoch: epoch}
	for e, key := range keys {
		if e >= Epochs {
			return nil, merry.Errorf("key epoch %d, at most %d allowed", e, epochMask)
		}
		if len(key) != KeyLen {
			return nil, merry.Errorf("key of epoch %d has %d bytes, want %d", e, len(key), KeyLen)
		}
		b, err := aes.NewCipher(key)
		if err != nil {
			return nil, merry.Wrap(err)
		}
		c.blocks[e] = b
	}
	if epoch >= Epochs || c.blocks[epoch] == nil {
		return nil, merry.Errorf("no key for the sealing epoch %d", epoch)
	}
	return c, nil
}

// Seal returns a new connection ID that encodes the agent's IPv4 address and its
// service. It fails if no random bytes are available.
func (c *Codec) Seal(agent netip.AddrPort, service uint32) ([]byte, error) {
	id := make([]byte, Len)
	var nonce [5]byte
	if _, err := rand.Read(nonce[:]); err != nil {
		return nil, merry.Wrap(err)
	}
	id[0] = nonce[0]&^epochMask | c.epoch
	b := id[1:]
	a := agent.Addr().As4()
	copy(b, a[:])
	binary.BigEndian.PutUint16(b[portOffset:], agent.Port())
	binary.BigEndian.PutUint32(b[serviceOffset:], service)
	copy(b[nonceOffset:checkOffset], nonce[1:])
	binary.BigEndian.PutUint16(b[checkOffset:], checkValue)
	c.blocks[c.epoch].Encrypt(b, b)
	return id, nil
}

// Open returns the agent and service that the connection ID encodes. It returns
// false if the ID was not sealed with one of the keys.
func (c *Codec) Open(id []byte) (agent netip.AddrPort, service uint32, ok bool) {
	if len(id) != Len {
		return netip.AddrPort{}, 0, false
	}
	block := c.blocks[id[0]&epochMask]
	if block == nil {
		return netip.AddrPort{}, 0, false
	}
	return open(block, id[1:])
}
