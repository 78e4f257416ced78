package bergamotgw

import (
	"sync/atomic"

	"github.com/bergamotgw/bergamotgw/internal/load"
)

// drainFlag records whether a process is draining.
type drainFlag struct {
	leaving atomic.Bool
}

func (d *drainFlag) set() {
	d.leaving.Store(true)
}

func (d *drainFlag) state() string {
	if d.leaving.Load() {
		return string(load.Draining)
	}
	return string(load.Up)
}
