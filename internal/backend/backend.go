// Package backend connects to the backend server beside an agent.
package backend

import (
	"context"
	"encoding/binary"
	"net"
	"net/netip"
	"time"

	"github.com/ansel1/merry/v2"
	"github.com/pires/go-proxyproto"

	"github.com/bergamotgw/bergamotgw/pkg/request"
)

// Types of the application's TLVs in the PROXY protocol header.
const (
	// TypeKey carries the idempotency key.
	TypeKey proxyproto.PP2Type = 0xE0
	// TypeTimeout carries the time left until the deadline in milliseconds, 4 bytes big-endian.
	TypeTimeout proxyproto.PP2Type = 0xE1
	// TypeOffset carries the number of answer bytes that the caller of a resumed session has,
	// 8 bytes big-endian.
	TypeOffset proxyproto.PP2Type = 0xE2
	// TypeKind carries the kind of the request as text.
	TypeKind proxyproto.PP2Type = 0xE3
)

// connectTimeout limits a TCP handshake, which stays on the agent's own VM.
const connectTimeout = time.Second

// Dialer opens connections to one backend server.
type Dialer struct {
	// Address is the TCP address of the backend server.
	Address netip.AddrPort
	// Dial opens a TCP connection; tests replace it.
	Dial func(ctx context.Context, network, address string) (net.Conn, error)
}

// NewDialer returns a dialer for the backend server at the address.
func NewDialer(address netip.AddrPort) Dialer {
	d := &net.Dialer{Timeout: connectTimeout}
	return Dialer{Address: address, Dial: d.DialContext}
}

// Connect opens a connection and writes the PROXY protocol header, with both addresses and with
// the kind, key, time left and offset of the request. An error means that no byte of the request
// was written.
func (d Dialer) Connect(ctx context.Context, caller, address netip.AddrPort, p request.Preface) (*net.TCPConn, error) {
	c, err := d.Dial(ctx, "tcp4", d.Address.String())
	if err != nil {
		return nil, merry.Prepend(err, "connect to backend server")
	}
	h, err := proxyHeader(caller, address, p)
	if err == nil {
		_, err = h.WriteTo(c)
	}
	if err != nil {
		_ = c.Close()
		return nil, merry.Prepend(err, "write PROXY header")
	}
	return c.(*net.TCPConn), nil
}

// Probe opens and closes a connection. The LOCAL command in its PROXY protocol header marks a
// connection without a request.
func (d Dialer) Probe(ctx context.Context) error {
	c, err := d.Dial(ctx, "tcp4", d.Address.String())
	if err != nil {
		return merry.Prepend(err, "probe backend server")
	}
	defer func() { _ = c.Close() }()
	h := proxyproto.Header{Version: 2, Command: proxyproto.LOCAL, TransportProtocol: proxyproto.UNSPEC}
	_, err = h.WriteTo(c)
	return merry.Wrap(err)
}

func proxyHeader(caller, address netip.AddrPort, p request.Preface) (*proxyproto.Header, error) {
	h := proxyproto.HeaderProxyFromAddrs(2, net.TCPAddrFromAddrPort(caller), net.TCPAddrFromAddrPort(address))
	tlvs := []proxyproto.TLV{{Type: TypeKind, Value: []byte(p.Kind)}}
	if p.Key != "" {
		tlvs = append(tlvs, proxyproto.TLV{Type: TypeKey, Value: []byte(p.Key)})
	}
	if p.TimeoutMs > 0 {
		tlvs = append(tlvs, proxyproto.TLV{Type: TypeTimeout, Value: binary.BigEndian.AppendUint32(nil, p.TimeoutMs)})
	}
	if p.Offset > 0 {
		tlvs = append(tlvs, proxyproto.TLV{Type: TypeOffset, Value: binary.BigEndian.AppendUint64(nil, p.Offset)})
	}
	return h, merry.Wrap(h.SetTLVs(tlvs))
}
