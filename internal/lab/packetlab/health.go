package packetlab

import (
	"net"
	"net/netip"
)

// startHealth accepts connections at the address of a server, so that its agent detects that
// the server runs.
func (r *real) startHealth(a netip.AddrPort) {
	r.stopHealth(a)
	listener, err := net.Listen("tcp4", a.String())
	if err != nil {
		r.lab.addFinding("lab: %v", err)
		return
	}
	r.health[a] = listener
	r.tasks.Go(func() {
		for {
			c, err := listener.Accept()
			if err != nil {
				return
			}
			_ = c.Close()
		}
	})
}

// stopHealth stops accepting connections at the address of a server.
func (r *real) stopHealth(a netip.AddrPort) {
	if listener, ok := r.health[a]; ok {
		_ = listener.Close()
		delete(r.health, a)
	}
}
