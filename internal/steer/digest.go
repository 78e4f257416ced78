package steer

import (
	"encoding/binary"
	"net/netip"
	"time"

	"github.com/bergamotgw/bergamotgw/internal/position"
)

// MaxMembers is the maximum number of other balancers in a digest.
const MaxMembers = 8

// Freshness describes the sender of a digest, a balancer or a replica, and how recent its
// catalog is.
type Freshness struct {
	// RoutesVersion is the version of the routes; 0 if the sender has none.
	RoutesVersion uint64
	// FormerVersion is the latest version of the routes before it by which flows may have been placed
	// that are still open; 0 if there is none.
	FormerVersion uint64
	// Position is the state of the platform at which the servers were read; zero if they
	// never were.
	position.Position
	// StatesEpoch is true for a digest that was received with an epoch, even if that is 0. Programs
	// that do not know epochs state none, and their readings hold none.
	StatesEpoch bool
	// EvacuationsAt is the state of the platform at which the evacuated zones were read; zero if
	// they never were.
	EvacuationsAt position.Position
	// Age is the time since the servers were read.
	Age time.Duration
	// Sum is a hash of the list of servers and of the evacuated zones; equal ones have equal hashes.
	Sum uint64
	// Leaving is true if the sender is about to stop.
	Leaving bool
	// Failing is true if the sender's latest read of the platform has failed.
	Failing bool
	// Corroborated is true if the sender's list of servers is confirmed to be complete: it
	// holds every server that may run.
	Corroborated bool
	// Replica is true if the sender is an agent, which stores a copy of the catalog and never
	// reads the platform.
	Replica bool
}

// Flags of a digest.
const (
	leavingFlag = 1 << iota
	corroboratedFlag
	replicaFlag
	failingFlag
)

const (
	digestFixedLen = 2 + 8 + 8 + 4 + 8 + 1 + 1
	// epochLen is the length of the epoch, which follows the other balancers: programs that
	// do not know epochs ignore what follows them.
	epochLen = 8
	// evacuationsLen is the length of EvacuationsAt, which follows the epoch if it or FormerVersion is
	// not zero.
	evacuationsLen = 8 + 8
	// formerVersionLen is the length of FormerVersion, which follows EvacuationsAt if it is not zero.
	formerVersionLen = 8
	// DigestMaxLen is the length of the longest digest, in bytes.
	DigestMaxLen = digestFixedLen + MaxMembers*addrLen + epochLen + evacuationsLen + formerVersionLen
)

// PutDigest writes a digest into b, which holds at least DigestMaxLen bytes,
// and returns its length. It always states the epoch.
func PutDigest(b []byte, f Freshness, members []netip.AddrPort) int {
	b[0], b[kindOffset] = magic, byte(Digest)
	binary.BigEndian.PutUint64(b[2:], f.RoutesVersion)
	binary.BigEndian.PutUint64(b[10:], f.Revision)
	binary.BigEndian.PutUint32(b[18:], uint32(min(f.Age.Milliseconds(), 1<<32-1)))
	binary.BigEndian.PutUint64(b[22:], f.Sum)
	b[30] = flag(f.Leaving, leavingFlag) | flag(f.Corroborated, corroboratedFlag) | flag(f.Replica, replicaFlag) | flag(f.Failing, failingFlag)
	members = members[:min(len(members), MaxMembers)]
	b[31] = byte(len(members))
	for i, m := range members {
		putAddr(b[digestFixedLen+i*addrLen:], m)
	}
	n := digestFixedLen + len(members)*addrLen
	binary.BigEndian.PutUint64(b[n:], f.Epoch)
	n += epochLen
	if f.EvacuationsAt == (position.Position{}) && f.FormerVersion == 0 {
		return n
	}
	binary.BigEndian.PutUint64(b[n:], f.EvacuationsAt.Epoch)
	binary.BigEndian.PutUint64(b[n+8:], f.EvacuationsAt.Revision)
	n += evacuationsLen
	if f.FormerVersion == 0 {
		return n
	}
	binary.BigEndian.PutUint64(b[n:], f.FormerVersion)
	return n + formerVersionLen
}

// ParseDigest decodes a digest: the sender's state, and the other balancers that it names.
// The epoch is 0 if the digest does not state it. It returns false if the datagram is not a
// valid digest.
func ParseDigest(b []byte) (Freshness, []netip.AddrPort, bool) {
	if kind, ok := KindOf(b); !ok || kind != Digest || len(b) < digestFixedLen {
		return Freshness{}, nil, false
	}
	n := int(b[31])
	if n > MaxMembers || len(b) < digestFixedLen+n*addrLen {
		return Freshness{}, nil, false
	}
	members := make([]netip.AddrPort, n)
	for i := range members {
		members[i] = addr(b[digestFixedLen+i*addrLen:])
	}
	at := position.Position{Revision: binary.BigEndian.Uint64(b[10:])}
	rest := b[digestFixedLen+n*addrLen:]
	if len(rest) >= epochLen {
		at.Epoch = binary.BigEndian.Uint64(rest)
	}
	var evacuationsAt position.Position
	if len(rest) >= epochLen+evacuationsLen {
		evacuationsAt.Epoch = binary.BigEndian.Uint64(rest[epochLen:])
		evacuationsAt.Revision = binary.BigEndian.Uint64(rest[epochLen+8:])
	}
	var formerVersion uint64
	if len(rest) >= epochLen+evacuationsLen+formerVersionLen {
		formerVersion = binary.BigEndian.Uint64(rest[epochLen+evacuationsLen:])
	}
	return Freshness{
		RoutesVersion: binary.BigEndian.Uint64(b[2:]),
		FormerVersion: formerVersion,
		Position:      at,
		StatesEpoch:   len(rest) >= epochLen,
		EvacuationsAt: evacuationsAt,
		Age:           time.Duration(binary.BigEndian.Uint32(b[18:])) * time.Millisecond,
		Sum:           binary.BigEndian.Uint64(b[22:]),
		Leaving:       b[30]&leavingFlag != 0,
		Failing:       b[30]&failingFlag != 0,
		Corroborated:  b[30]&corroboratedFlag != 0,
		Replica:       b[30]&replicaFlag != 0,
	}, members, true
}
