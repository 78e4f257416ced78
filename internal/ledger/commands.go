package ledger

import "github.com/bergamotgw/bergamotgw/internal/entry"

// Offer accepts the entry if it is valid and supersedes the one in force, and refuses it
// if it has faults.
func (l *Ledger) Offer(e entry.Entry) Outcome {
	ref := e.Ref()
	if l.has(ref) {
		return Stale
	}
	value, faults := e.Parse()
	l.mu.Lock()
	defer l.mu.Unlock()
	l.countAnomalies(ref)
	l.renew(ref)
	old, ok := l.accepted[e.Key]
	if ok && !ref.Supersedes(old.ref) {
		return Stale
	}
	if len(faults) > 0 {
		return l.refuse(Refusal{Entry: e, Faults: faults, Since: l.clock.Now()}, ref)
	}
	if ok {
		l.toggle(old.ref)
	}
	l.accept(accepted{entry: e, value: value, ref: ref, since: l.clock.Now()})
	return Accepted
}

// has reports whether this entry is already in force or refused, as read in the same epoch or
// a later one.
func (l *Ledger) has(ref entry.Ref) bool {
	l.mu.RLock()
	defer l.mu.RUnlock()
	if a, ok := l.accepted[ref.Key]; ok && a.ref.SameText(ref) && a.ref.Epoch >= ref.Epoch {
		return true
	}
	r, ok := l.refused[ref.Key]
	return ok && r.ref.SameText(ref) && r.ref.Epoch >= ref.Epoch
}

// renew records the epoch of the ref if the same text is in force or refused as read in an
// earlier one. This is no change of the content. The caller holds the lock.
func (l *Ledger) renew(ref entry.Ref) {
	if r, ok := l.refused[ref.Key]; ok && r.ref.SameText(ref) && r.ref.Epoch < ref.Epoch {
		r.ref.Epoch, r.refusal.Entry.Epoch = ref.Epoch, ref.Epoch
		l.refused[ref.Key] = r
	}
	if a, ok := l.accepted[ref.Key]; ok && a.ref.SameText(ref) && a.ref.Epoch < ref.Epoch {
		a.ref.Epoch, a.entry.Epoch = ref.Epoch, ref.Epoch
		l.accepted[ref.Key] = a
		l.dropSuperseded(a.ref)
	}
}

// countAnomalies counts an offer below the revision in force, or with another text under
// it. The caller holds the lock.
func (l *Ledger) countAnomalies(ref entry.Ref) {
	old, ok := l.accepted[ref.Key]
	if !ok {
		return
	}
	if ref.Revision < old.ref.Revision {
		l.lowered++
	}
	if ref.Revision == old.ref.Revision && ref.Hash != old.ref.Hash {
		l.conflicts++
	}
}

// refuse records a refused entry unless the recorded one supersedes it. The caller holds
// the lock.
func (l *Ledger) refuse(r Refusal, ref entry.Ref) Outcome {
	old, ok := l.refused[ref.Key]
	if ok && !ref.Supersedes(old.ref) {
		return Stale
	}
	if ok {
		l.toggle(old.ref)
	}
	l.toggle(ref)
	l.index++
	l.refused[ref.Key] = refused{refusal: r, ref: ref, index: l.index}
	l.notify()
	return Refused
}

// accept puts an entry in force and drops a refused one that does not supersede it. The
// caller holds the lock.
func (l *Ledger) accept(a accepted) {
	key := a.entry.Key
	l.toggle(a.ref)
	l.index++
	a.index = l.index
	l.accepted[key] = a
	l.dropSuperseded(a.ref)
	l.notify()
}

// dropSuperseded drops the refused entry of a key if it does not supersede the one in force.
// The caller holds the lock.
func (l *Ledger) dropSuperseded(inForce entry.Ref) {
	if r, ok := l.refused[inForce.Key]; ok && !r.ref.Supersedes(inForce) {
		l.toggle(r.ref)
		delete(l.refused, inForce.Key)
	}
}

// toggle adds a ref to the sum of its bucket, or removes it if it was added before.
func (l *Ledger) toggle(ref entry.Ref) {
	l.buckets[Bucket(ref.Key)] ^= ref.Sum()
}

// notify wakes those that wait for a change. The caller holds the lock.
func (l *Ledger) notify() {
	close(l.changed)
	l.changed = make(chan struct{})
}
