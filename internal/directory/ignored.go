package directory

import (
	"hash/maphash"

	"github.com/ansel1/merry/v2"

	"github.com/bergamotgw/bergamotgw/internal/catalog"
)

// maxIgnored is how many unusable entries of the latest list are remembered. More of them are
// counted and logged with each reading.
const maxIgnored = 1024

// ignored remembers the unusable entries of the latest list from each source, so that an entry is
// counted and logged once as long as it does not change.
type ignored struct {
	seed     maphash.Seed
	bySource map[string]map[uint64]bool
}

func newIgnored() ignored {
	return ignored{seed: maphash.MakeSeed(), bySource: make(map[string]map[uint64]bool)}
}

// replace remembers the errors of the latest list from a source, and returns those that the
// former list did not have.
func (i *ignored) replace(source string, faults []error) []error {
	former, latest := i.bySource[source], make(map[uint64]bool)
	var added []error
	for _, f := range faults {
		h := maphash.String(i.seed, f.Error())
		if !former[h] {
			added = append(added, f)
		}
		if len(latest) < maxIgnored {
			latest[h] = true
		}
	}
	if len(latest) == 0 {
		delete(i.bySource, source)
	} else {
		i.bySource[source] = latest
	}
	return added
}

// recordIgnored counts and logs the unusable entries that the latest list from a source has and
// the former one did not have.
func (d *Directory) recordIgnored(faults []error, source string) {
	d.mu.Lock()
	added := d.ignored.replace(source, faults)
	d.mu.Unlock()
	d.counts.Ignored.Add(uint64(len(added)))
	for _, f := range added {
		d.config.Log.Warn("entryIgnored").Err(f).Str("source", source).Send()
	}
}

// usable returns the entries of a list that describe a usable server, and an error for each other
// one. Other directories check what they read; older programs check less.
func usable(list []catalog.Server) (kept []catalog.Server, faults []error) {
	for _, v := range list {
		if err := v.Check(); err != nil {
			faults = append(faults, merry.Prependf(err, "%.*s", catalog.MaxNameLen, v.ID))
			continue
		}
		kept = append(kept, v)
	}
	return kept, faults
}
