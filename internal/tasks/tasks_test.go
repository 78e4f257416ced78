package tasks

import (
	"context"
	"slices"
	"sync"
	"testing"
)

// TestRetarget checks that each wanted key has one task, and that tasks end when their key is no
// longer wanted or the context ends.
func TestRetarget(t *testing.T) {
	var mu sync.Mutex
	var started, ended []string
	s := NewSet[string]()
	run := func(ctx context.Context, key string) {
		mu.Lock()
		started = append(started, key)
		mu.Unlock()
		<-ctx.Done()
		mu.Lock()
		ended = append(ended, key)
		mu.Unlock()
	}
	ctx, cancel := context.WithCancel(context.Background())
	s.Retarget(ctx, []string{"a", "b"}, run)
	s.Retarget(ctx, []string{"b", "c"}, run)
	if s.Has("a") || !s.Has("b") || !s.Has("c") {
		t.Errorf("a %t, b %t, c %t; want b and c", s.Has("a"), s.Has("b"), s.Has("c"))
	}
	cancel()
	s.Wait()
	slices.Sort(started)
	slices.Sort(ended)
	if want := []string{"a", "b", "c"}; !slices.Equal(started, want) || !slices.Equal(ended, want) {
		t.Errorf("started %v, ended %v; want each of %v once", started, ended, want)
	}
}
