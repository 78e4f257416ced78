package directory

import (
	"errors"
	"net/netip"
	"testing"

	"github.com/samber/lo"

	"github.com/bergamotgw/bergamotgw/internal/catalog"
)

// TestUnusableEntriesTravel guards against a process that ends, or stops following the list,
// because another one has sent an entry that it cannot use.
func TestUnusableEntriesTravel(t *testing.T) {
	good := catalog.Server{ID: "good", Service: "pass", Zone: "a", State: catalog.Ready, Slots: 1, Address: netip.MustParseAddr("10.0.0.1")}
	odd := map[string]func(*catalog.Server){
		"noAddress": func(v *catalog.Server) { v.Address = netip.Addr{} },
		"ipv6":      func(v *catalog.Server) { v.Address = netip.MustParseAddr("2001:db8::1") },
		"noService": func(v *catalog.Server) { v.Service = "" },
		"longZone":  func(v *catalog.Server) { v.Zone = string(make([]byte, catalog.MaxNameLen+1)) },
		"state":     func(v *catalog.Server) { v.State = "asleep" },
		"slots":     func(v *catalog.Server) { v.Slots = 0 },
		"warmup":    func(v *catalog.Server) { v.Warmup = -1 },
		"born":      func(v *catalog.Server) { v.Born = -1 },
	}
	list := []catalog.Server{good}
	for id, change := range odd {
		v := good
		v.ID = id
		change(&v)
		list = append(list, v)
	}
	kept, faults := usable(list)
	if len(kept) != 1 || kept[0] != good || len(faults) != len(odd) {
		t.Errorf("kept %v, faults %v; want one server and %d faults", kept, faults, len(odd))
	}
}

// TestIgnoredOnce checks that an unusable entry counts once as long as it does not change.
func TestIgnoredOnce(t *testing.T) {
	i := newIgnored()
	a, b := errors.New("a"), errors.New("b")
	for n, step := range []struct{ faults, added []error }{
		{[]error{a}, []error{a}}, {[]error{a}, nil}, {[]error{a, b}, []error{b}}, {nil, nil}, {[]error{a}, []error{a}},
	} {
		if got := i.replace("platform", step.faults); !lo.ElementsMatch(got, step.added) {
			t.Errorf("step %d: added %v, want %v", n, got, step.added)
		}
	}
}
