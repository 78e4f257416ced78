package catalog

import (
	"encoding/json"
	"slices"
	"strconv"
	"strings"
	"testing"

	"github.com/bergamotgw/bergamotgw/internal/position"
)

// evacuated returns the set of the given zones, read at a revision of the first epoch.
func evacuated(revision uint64, zones ...string) Evacuations {
	e, _ := NewEvacuations(position.Position{Epoch: 1, Revision: revision}, zones)
	return e
}

// TestOrderOfEvacuations guards against a set that replaces a newer one because it comes with a
// newer list of servers, and against one that is lost because it comes with an older list.
func TestOrderOfEvacuations(t *testing.T) {
	list := func(revision uint64, e Evacuations) Servers {
		return NewServers(position.Position{Epoch: 1, Revision: revision}, nil).WithEvacuations(e)
	}
	for _, c := range []struct {
		name         string
		then         Servers
		revision, at uint64
		zones        []string
	}{
		{"newerList", list(8, evacuated(4, "a")), 8, 5, []string{"b"}},
		{"listWithoutSet", list(8, Evacuations{}), 8, 5, []string{"b"}},
		{"newerSet", list(6, evacuated(9, "a")), 7, 9, []string{"a"}},
		{"removedSince", list(8, evacuated(6)), 8, 6, nil},
		{"bothOlder", list(6, evacuated(4, "a")), 7, 5, []string{"b"}},
	} {
		got := NewCatalog().WithServers(list(7, evacuated(5, "b"))).WithServers(c.then).Servers
		if got.Revision != c.revision || got.Evacuations.Revision != c.at || !slices.Equal(got.Evacuations.Zones, c.zones) {
			t.Errorf("%s: %+v", c.name, got)
		}
	}
}

// TestServersWithoutEvacuations guards against a hash or an encoding that changes for older
// programs where no set was ever read.
func TestServersWithoutEvacuations(t *testing.T) {
	s := NewServers(position.Position{Epoch: 1, Revision: 7}, nil)
	const empty = 0xcbf29ce484222325
	if s.Sum() != empty || s.WithEvacuations(evacuated(7)).Sum() != empty || s.WithEvacuations(evacuated(7, "a")).Sum() == empty {
		t.Error("the hash must depend on the evacuated zones, and only on them")
	}
	for _, v := range []any{s, s.Delta(s)} {
		if raw, err := json.Marshal(v); err != nil || strings.Contains(string(raw), "evacuations") {
			t.Errorf("%s, %v", raw, err)
		}
	}
}

// TestBoundsOfEvacuations guards against names that grow each exchange without a limit.
func TestBoundsOfEvacuations(t *testing.T) {
	zones := []string{"", strings.Repeat("x", MaxNameLen+1), "b", "b"}
	for n := range MaxEvacuatedZones {
		zones = append(zones, "zone-"+strconv.Itoa(n))
	}
	e, faults := NewEvacuations(position.Position{Revision: 1}, zones)
	if len(e.Zones) != MaxEvacuatedZones || len(faults) != 3 || !e.Has("b") || e.Has("zone-99") {
		t.Errorf("%d zones, faults %v", len(e.Zones), faults)
	}
}
