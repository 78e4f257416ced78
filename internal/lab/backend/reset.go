package backend

import (
	"context"
	"syscall"
	"time"

	"github.com/pires/go-proxyproto"
)

// resetPoll is the time between looks for a reset.
const resetPoll = 20 * time.Millisecond

// awaitReset returns when the other side resets the connection or the context
// ends. Once the other side has closed its direction, reads no longer tell.
func awaitReset(ctx context.Context, c *proxyproto.Conn) {
	t, ok := c.TCPConn()
	if !ok {
		return
	}
	raw, err := t.SyscallConn()
	if err != nil {
		return
	}
	for pause(ctx, resetPoll) {
		failed := 0
		err := raw.Control(func(fd uintptr) {
			failed, _ = syscall.GetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_ERROR)
		})
		if err != nil || failed != 0 {
			return
		}
	}
}
