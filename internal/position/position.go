// Package position identifies states of the platform's store.
package position

// Position identifies a state of the platform's store: the revision at which it was read, and
// the epoch that issued the revision.
type Position struct {
	// Epoch counts the returns of the store from a backup, after which it issues former
	// revisions again; 0 if it is unknown.
	Epoch uint64 `json:"epoch,omitempty"`
	// Revision increases with each change within an epoch; 0 if the store was never read.
	Revision uint64 `json:"revision"`
}

// Before reports whether p is an earlier state than o. An unknown epoch is before all others.
func (p Position) Before(o Position) bool {
	if p.Epoch != o.Epoch {
		return p.Epoch < o.Epoch
	}
	return p.Revision < o.Revision
}
