package settings

import (
	"encoding/hex"
	"os"
	"strings"

	"github.com/ansel1/merry/v2"

	"github.com/bergamotgw/bergamotgw/internal/connid"
)

// minDistinctBytes is the least number of distinct bytes in a secret.
const minDistinctBytes = 6

// ReadSecret reads a secret of length bytes from a file of hexadecimal digits. It rejects weak
// secrets, which have fewer than minDistinctBytes distinct bytes.
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

// Codec reads the key files and returns the codec of connection IDs.
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

// ResetKey reads the key of stateless resets.
func (s Agent) ResetKey() ([resetKeyLen]byte, error) {
	secret, err := ReadSecret(s.ResetKeyFile, resetKeyLen)
	if err != nil {
		return [resetKeyLen]byte{}, err
	}
	return [resetKeyLen]byte(secret), nil
}
