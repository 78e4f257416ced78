package settings

import (
	"encoding/hex"
	"os"
	"strings"

	"github.com/ansel1/merry/v2"

	"github.com/bergamotgw/bergamotgw/internal/connid"
)

// minDistinctBytes is the least variety that a secret must have.
const minDistinctBytes = 6

// ReadSecret reads a file of hexadecimal digits that hold length bytes. Weak
// secrets, made of few distinct bytes, are refused.
func ReadSecret(path string, length int) ([]byte, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, merry.Wrap(err)
	}
	secret, err := hex.DecodeString(strings.TrimSpace(string(text)))
	if err != nil {
		return nil, merry.Errorf("%s: not hexadecimal", path)
	}
	if len(secret) != length {
		return nil, merry.Errorf("%s: %d bytes, want %d", path, len(secret), length)
	}
	distinct := make(map[byte]bool)
	for _, b := range secret {
		distinct[b] = true
	}
	if len(distinct) < minDistinctBytes {
		return nil, merry.Errorf("%s: weak key, only %d distinct bytes", path, len(distinct))
	}
	return secret, nil
}

// Codec reads the key files and returns the connection ID codec.
func (s Common) Codec() (*connid.Codec, error) {
	keys := make(map[uint8][]byte, len(s.Keys))
	for _, k := range s.Keys {
		secret, err := ReadSecret(k.File, connid.KeyLen)
		if err != nil {
			return nil, err
		}
		keys[k.Epoch] = secret
	}
	return connid.NewCodec(keys, s.SealEpoch)
}

// ResetKey reads the stateless reset key.
func (s Agent) ResetKey() ([resetKeyLen]byte, error) {
	secret, err := ReadSecret(s.ResetKeyFile, resetKeyLen)
	if err != nil {
		return [resetKeyLen]byte{}, err
	}
	return [resetKeyLen]byte(secret), nil
}
