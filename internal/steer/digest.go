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
	// Number is that of the round of digests, from which on the sender recognizes an Echo; 0 in those
	// of older programs. Echo is the latest Number that the sender has received from the receiver.
	Number, Echo uint16
	// ProvedAge is the time after which the routes and servers were read for certain, by the clock of
	// the sender alone, as an age; valid if Proved is true.
	ProvedAge time.Duration
	Proved    bool
	// ReplyRequested is true if the receiver is to answer with its own digest at once.
	ReplyRequested bool
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
	replyFlag
)

const (
	digestFixedLen = 2 + 8 + 8 + 4 + 8 + 1 + 1
	// epochLen is the length of the epoch, which follows the other balancers: programs that
	// do not know epochs ignore what follows them.
	epochLen = 8
	// evacuationsLen is the length of EvacuationsAt, which follows the epoch if it is not zero.
	evacuationsLen = 8 + 8
	// proofLen is the length of FormerVersion, Number, Echo and ProvedAge, which end a digest. Programs
	// that do not know them ignore them: they tell what follows the epoch by its length.
	proofLen = 8 + 2 + 2 + 2
	// maxProvedAge is the longest age that is stated, and noProvedAge stands for an unknown one; in
	// milliseconds.
	maxProvedAge = noProvedAge - 1
	noProvedAge  = 1<<16 - 1
	// DigestMaxLen is the length of the longest digest, in bytes.
	DigestMaxLen = digestFixedLen + MaxMembers*addrLen + epochLen + evacuationsLen + proofLen
)

// PutDigest writes a digest into b, which holds at least DigestMaxLen bytes,
// and returns its length. It always states the epoch.
func PutDigest(b []byte, f Freshness, members []netip.AddrPort) int {
	b[0], b[kindOffset] = magic, byte(Digest)
	binary.BigEndian.PutUint64(b[2:], f.RoutesVersion)
	binary.BigEndian.PutUint64(b[10:], f.Revision)
	binary.BigEndian.PutUint32(b[18:], uint32(min(f.Age.Milliseconds(), 1<<32-1)))
	binary.BigEndian.PutUint64(b[22:], f.Sum)
	b[30] = flag(f.Leaving, leavingFlag) | flag(f.Corroborated, corroboratedFlag) | flag(f.Replica, replicaFlag) | flag(f.Failing, failingFlag) | flag(f.ReplyRequested, replyFlag)
	members = members[:min(len(members), MaxMembers)]
	b[31] = byte(len(members))
	for i, m := range members {
		putAddr(b[digestFixedLen+i*addrLen:], m)
	}
	n := digestFixedLen + len(members)*addrLen
	binary.BigEndian.PutUint64(b[n:], f.Epoch)
	n += epochLen
	if f.EvacuationsAt != (position.Position{}) {
		binary.BigEndian.PutUint64(b[n:], f.EvacuationsAt.Epoch)
		binary.BigEndian.PutUint64(b[n+8:], f.EvacuationsAt.Revision)
		n += evacuationsLen
	}
	f.putProof(b[n:])
	return n + proofLen
}

func (f Freshness) putProof(b []byte) {
	age := uint16(noProvedAge)
	if f.Proved {
		// Rounded up, so that nothing seems younger than it is.
		age = uint16(min((f.ProvedAge + time.Millisecond - 1).Milliseconds(), maxProvedAge))
	}
	binary.BigEndian.PutUint64(b, f.FormerVersion)
	binary.BigEndian.PutUint16(b[8:], f.Number)
	binary.BigEndian.PutUint16(b[10:], f.Echo)
	binary.BigEndian.PutUint16(b[12:], age)
}

func (f *Freshness) parseProof(b []byte) {
	f.FormerVersion = binary.BigEndian.Uint64(b)
	f.Number, f.Echo = binary.BigEndian.Uint16(b[8:]), binary.BigEndian.Uint16(b[10:])
	if age := binary.BigEndian.Uint16(b[12:]); age < maxProvedAge {
		f.ProvedAge, f.Proved = time.Duration(age)*time.Millisecond, true
	}
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
	f := Freshness{
		RoutesVersion: binary.BigEndian.Uint64(b[2:]),
		Position:      at,
		StatesEpoch:   len(rest) >= epochLen,
		Age:           time.Duration(binary.BigEndian.Uint32(b[18:])) * time.Millisecond,
		Sum:           binary.BigEndian.Uint64(b[22:]),
		Leaving:       b[30]&leavingFlag != 0,
		Failing:       b[30]&failingFlag != 0,
		Corroborated:  b[30]&corroboratedFlag != 0,
		Replica:       b[30]&replicaFlag != 0,

		ReplyRequested: b[30]&replyFlag != 0,
	}
	if rest = rest[min(epochLen, len(rest)):]; len(rest) >= evacuationsLen {
		f.EvacuationsAt = position.Position{Epoch: binary.BigEndian.Uint64(rest), Revision: binary.BigEndian.Uint64(rest[8:])}
		rest = rest[evacuationsLen:]
	}
	if len(rest) >= proofLen {
		f.parseProof(rest)
	}
	return f, members, true
}
