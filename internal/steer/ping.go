package steer

import (
	"encoding/binary"
	"math"
	"time"

	"github.com/bergamotgw/bergamotgw/internal/position"
)

// Notice is what a ping tells an agent about its backend server, besides requesting a report.
type Notice struct {
	// EvacuationsKnown is true if the balancer has read the set of evacuated zones, as of the
	// position EvacuationsAt. Evacuated is whether it contains the zone of the server.
	EvacuationsKnown bool
	EvacuationsAt    position.Position
	Evacuated        bool
	// ServerKnown is true if a server is listed at the agent's address. The fields below are valid
	// only then.
	ServerKnown bool
	// Service is the numeric identifier of its service: an entry of another writer may name the
	// address before the agent has reported its service to the balancer.
	Service uint32
	// CommonStart is true if the balancer has started together with the server or later.
	CommonStart bool
	// Born is the Unix time of the start of that server, in milliseconds.
	Born int64
	// Warmup is how long the server stays cold from now on.
	Warmup time.Duration
	// ColdFlowsPerSecond is how many new flows a second a cold server of the service bears; 0 if
	// there is no limit.
	ColdFlowsPerSecond float64
}

// Flags of a ping.
const (
	evacuationsKnownFlag = 1
	evacuatedFlag        = 2
	serverKnownFlag      = 4
	commonStartFlag      = 8
)

const (
	// minPingLen is the length of the pings of programs that state nothing, in bytes.
	minPingLen = 2

	pingFlagsOffset    = minPingLen
	pingEpochOffset    = pingFlagsOffset + 1
	pingRevisionOffset = pingEpochOffset + 8
	pingBornOffset     = pingRevisionOffset + 8
	pingWarmupOffset   = pingBornOffset + 8
	pingColdOffset     = pingWarmupOffset + 4
	pingServiceOffset  = pingColdOffset + 4
)

// PingLen is the length of a ping, in bytes.
const PingLen = pingServiceOffset + 4

// PutPing writes a ping into b, which holds at least PingLen bytes.
func PutPing(b []byte, n Notice) {
	b[0], b[kindOffset] = magic, byte(Ping)
	b[pingFlagsOffset] = flag(n.EvacuationsKnown, evacuationsKnownFlag) | flag(n.Evacuated, evacuatedFlag) |
		flag(n.ServerKnown, serverKnownFlag) | flag(n.CommonStart, commonStartFlag)
	binary.BigEndian.PutUint64(b[pingEpochOffset:], n.EvacuationsAt.Epoch)
	binary.BigEndian.PutUint64(b[pingRevisionOffset:], n.EvacuationsAt.Revision)
	binary.BigEndian.PutUint64(b[pingBornOffset:], uint64(n.Born))
	binary.BigEndian.PutUint32(b[pingWarmupOffset:], clampUint32(float64(n.Warmup.Milliseconds())))
	binary.BigEndian.PutUint32(b[pingColdOffset:], clampUint32(n.ColdFlowsPerSecond*rateUnit))
	binary.BigEndian.PutUint32(b[pingServiceOffset:], n.Service)
}

// ParsePing decodes a ping. The notice of a ping without one is zero. ParsePing returns false if
// the datagram is not a ping.
func ParsePing(b []byte) (Notice, bool) {
	if kind, ok := KindOf(b); !ok || kind != Ping {
		return Notice{}, false
	}
	if len(b) < PingLen {
		return Notice{}, true
	}
	flags := b[pingFlagsOffset]
	var n Notice
	if flags&evacuationsKnownFlag != 0 {
		n.EvacuationsKnown, n.Evacuated = true, flags&evacuatedFlag != 0
		n.EvacuationsAt = position.Position{
			Epoch: binary.BigEndian.Uint64(b[pingEpochOffset:]), Revision: binary.BigEndian.Uint64(b[pingRevisionOffset:]),
		}
	}
	if flags&serverKnownFlag != 0 {
		n.ServerKnown, n.CommonStart = true, flags&commonStartFlag != 0
		n.Service = binary.BigEndian.Uint32(b[pingServiceOffset:])
		n.Born = int64(min(binary.BigEndian.Uint64(b[pingBornOffset:]), math.MaxInt64))
		n.Warmup = time.Duration(binary.BigEndian.Uint32(b[pingWarmupOffset:])) * time.Millisecond
		n.ColdFlowsPerSecond = float64(binary.BigEndian.Uint32(b[pingColdOffset:])) / rateUnit
	}
	return n, true
}

// clampUint32 returns v as an integer, limited to the values that its field can hold.
func clampUint32(v float64) uint32 {
	return uint32(min(max(v, 0), math.MaxUint32))
}
