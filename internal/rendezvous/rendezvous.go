// Package rendezvous ranks nodes for a key by weighted rendezvous hashing (highest random
// weight). The hash is keyed, so that outsiders cannot predict the order.
package rendezvous

import (
	"encoding/binary"
	"math"

	"github.com/dchest/siphash"
)

// Ranker ranks nodes for keys. Rankers with equal secrets give equal orders in every process.
type Ranker struct {
	k0, k1 uint64
}

// SecretLen is the length of the secret, in bytes.
const SecretLen = 16

// NewRanker returns a ranker. Secrets shorter than SecretLen are padded with zeros.
func NewRanker(secret []byte) Ranker {
	var s [SecretLen]byte
	copy(s[:], secret)
	return Ranker{binary.LittleEndian.Uint64(s[:8]), binary.LittleEndian.Uint64(s[8:])}
}

// Hash returns the keyed hash of b.
func (r Ranker) Hash(b []byte) uint64 {
	return siphash.Hash(r.k0, r.k1, b)
}

// Score returns the score of a node with a positive weight for a key; the node with the
// highest score ranks first. key and node are results of Hash.
func (r Ranker) Score(key, node uint64, weight float64) float64 {
	u := float64(mix(key^node)>>11+1) / (1 << 53)
	return -weight / math.Log(u)
}

// Rank returns the score of a node for a key if all nodes have the same weight. It orders
// nodes as Score does, without its logarithm.
func (r Ranker) Rank(key, node uint64) float64 {
	return float64(mix(key^node) >> 11)
}

// Top writes the indexes of the nodes with the highest scores into best, in descending order
// of score, and returns how many it has written: at most 16, and not more than best holds.
// Nodes without a positive weight are left out.
func (r Ranker) Top(key uint64, nodes []uint64, weights []float64, best []int) int {
	var scores [16]float64
	n := 0
	limit := min(len(best), len(scores))
	for i, node := range nodes {
		if weights[i] <= 0 {
			continue
		}
		s := r.Score(key, node, weights[i])
		if n == limit && s <= scores[n-1] {
			continue
		}
		if n < limit {
			n++
		}
		j := n - 1
		for ; j > 0 && scores[j-1] < s; j-- {
			scores[j], best[j] = scores[j-1], best[j-1]
		}
		scores[j], best[j] = s, i
	}
	return n
}

// mix is the finalizer of MurmurHash3, a bijection that spreads every bit of x over the result.
func mix(x uint64) uint64 {
	x ^= x >> 33
	x *= 0xff51afd7ed558ccd
	x ^= x >> 33
	x *= 0xc4ceb9fe1a85ec53
	x ^= x >> 33
	return x
}
