package catalog

import (
	"net/netip"
	"time"

	"github.com/ansel1/merry/v2"
)

// Bounds of the fields of a server's entry. Entries of other writers may hold anything, and travel
// between processes like those of servers.
const (
	// MaxNameLen is the length of the longest ID or name, in bytes: that of a key of the platform.
	MaxNameLen = 200
	// MaxWarmup is the longest time for which a server stays slow after its start.
	MaxWarmup = time.Hour
	// maxBorn is the latest time at which a server may have started, in milliseconds: the start
	// of the year 2200.
	maxBorn = 7_258_118_400_000
)

// broadcast is the limited broadcast address.
var broadcast = netip.AddrFrom4([4]byte{255, 255, 255, 255})

// Check returns an error if the entry describes no usable server. The lists that a balancer uses
// hold only entries without an error.
func (s Server) Check() error {
	for _, name := range []struct{ field, value string }{{"id", s.ID}, {"service", s.Service}, {"zone", s.Zone}} {
		if name.value == "" || len(name.value) > MaxNameLen {
			return merry.Errorf("%s of %d bytes, want 1 to %d", name.field, len(name.value), MaxNameLen)
		}
	}
	a := s.Address
	switch {
	case !a.Is4() || a.IsUnspecified() || a.IsMulticast() || a == broadcast:
		return merry.Errorf("address %s is not that of an IPv4 host", a)
	case s.State != Ready && s.State != Draining:
		return merry.Errorf("unknown state %.32q", string(s.State))
	case s.Slots == 0:
		return merry.New("no slots")
	case s.Warmup < 0 || s.Warmup > MaxWarmup:
		return merry.Errorf("warmup of %v, want 0 to %v", s.Warmup, MaxWarmup)
	case s.Born < 0 || s.Born > maxBorn:
		return merry.Errorf("started at %d, want 0 to %d", s.Born, int64(maxBorn))
	}
	return nil
}
