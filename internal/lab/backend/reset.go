package backend

import (
	"context"
	"syscall"
	"time"

	"github.com/pires/go-proxyproto"
)

// resetPollInterval is the time between two checks for a reset.
const resetPollInterval = 20 * time.Millisecond

// awaitReset returns when the peer resets the connection or the context ends. It
// polls the socket error, because reads no longer report a reset once the peer has
// closed its direction.
func awaitReset(ctx context.Context, c *proxyproto.Conn) {
	t, ok := c.TCPConn()
	if !ok {
		return
	}
	raw, err := t.SyscallConn()
	if err != nil {
		return
	}
	for pause(ctx, resetPollInterval) {
		socketError := 0
		err := raw.Control(func(fd uintptr) {
			socketError, _ = syscall.GetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_ERROR)
		})
		if err != nil || socketError != 0 {
			return
		}
	}
}
