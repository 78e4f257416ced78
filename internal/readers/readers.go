// Package readers selects the processes that read the platform for all processes of their
// availability zone, and the neighbours with which a process exchanges entries.
package readers

import (
	"slices"

	"github.com/samber/lo"

	"github.com/bergamotgw/bergamotgw/internal/entry"
	"github.com/bergamotgw/bergamotgw/internal/ledger"
	"github.com/bergamotgw/bergamotgw/internal/rendezvous"
	"github.com/bergamotgw/bergamotgw/internal/vm"
)

// PerZone is how many processes of an availability zone read the platform.
const PerZone = 3

// Fleet is an immutable list of the VMs whose state is not gone.
type Fleet struct {
	// VMs are sorted by name.
	VMs []vm.VM
	// ranker has no secret, so that all processes make the same selection.
	ranker rendezvous.Ranker
}

// NewFleet returns the fleet according to the VM entries in the ledger.
func NewFleet(l *ledger.Ledger) Fleet {
	f := Fleet{ranker: rendezvous.NewRanker(nil)}
	for _, in := range l.List(entry.VMPrefix) {
		if v := *in.Value.VM; v.State != vm.Gone {
			f.VMs = append(f.VMs, v)
		}
	}
	return f
}

// Find returns the VM with the given name, and false if there is none.
func (f Fleet) Find(name string) (vm.VM, bool) {
	return lo.Find(f.VMs, func(v vm.VM) bool { return v.Name == name })
}

// IsReader reports whether the VM reads the platform for its zone. A VM that is not listed
// reads it too, because other processes do not have its entry yet.
func (f Fleet) IsReader(name string) bool {
	self, ok := f.Find(name)
	if !ok {
		return true
	}
	zone := lo.Filter(f.VMs, func(v vm.VM, _ int) bool { return v.Zone == self.Zone && v.State == vm.Live })
	top := f.top(self.Zone, zone, PerZone)
	return slices.ContainsFunc(top, func(v vm.VM) bool { return v.Name == name })
}

// Neighbours returns at most count VMs with which the named VM exchanges entries.
func (f Fleet) Neighbours(name string, count int) []vm.VM {
	others := lo.Filter(f.VMs, func(v vm.VM, _ int) bool { return v.Name != name })
	return f.top(name, others, count)
}

// top returns the VMs with the highest rank for the key, at most count.
func (f Fleet) top(key string, vms []vm.VM, count int) []vm.VM {
	k := f.ranker.Hash([]byte(key))
	hashes := lo.Map(vms, func(v vm.VM, _ int) uint64 { return f.ranker.Hash([]byte(v.Name)) })
	weights := lo.Map(vms, func(vm.VM, int) float64 { return 1 })
	best := make([]int, count)
	n := f.ranker.Top(k, hashes, weights, best)
	return lo.Map(best[:n], func(i, _ int) vm.VM { return vms[i] })
}
