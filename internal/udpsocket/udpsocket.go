// Package udpsocket opens the UDP sockets of balancers and agents.
package udpsocket

import (
	"net"
	"net/netip"

	"github.com/ansel1/merry/v2"
)

// Listen opens an IPv4 socket at an address, with a kernel buffer of bufferBytes for each
// direction.
func Listen(a netip.AddrPort, bufferBytes int) (*net.UDPConn, error) {
	c, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(a))
	if err != nil {
		return nil, merry.Wrap(err)
	}
	for _, set := range []func(int) error{c.SetReadBuffer, c.SetWriteBuffer} {
		if err := set(bufferBytes); err != nil {
			_ = c.Close()
			return nil, merry.Prependf(err, "set socket buffers of %v", a)
		}
	}
	return c, nil
}
