// Package rpc implements typed JSON-RPC 2.0 calls between processes of the system.
package rpc

import (
	"context"
	"encoding/json"
	"net"
	"net/netip"
	"sync/atomic"
	"time"

	"github.com/ansel1/merry/v2"
	"github.com/sourcegraph/jsonrpc2"
)

// CallTimeout limits every call, dial and write.
const CallTimeout = 2 * time.Second

// Server handles calls of the methods of a process, on all its connections.
type Server struct {
	// local is the source address of outgoing connections.
	local netip.Addr
	// methods are registered before the first connection, and don't change afterwards.
	methods map[string]method
	// traffic counts the bytes of all connections.
	traffic Traffic
}

// Traffic counts bytes on the wire, without the headers of TCP and IP.
type Traffic struct {
	// Sent counts bytes written.
	Sent atomic.Uint64
	// Received counts bytes read.
	Received atomic.Uint64
}

// Conn is a connection on which both sides may call methods.
type Conn struct {
	rpc *jsonrpc2.Conn
}

type method func(ctx context.Context, c *Conn, params json.RawMessage) (any, error)

// NewServer returns a server without methods that dials from the local address.
func NewServer(local netip.Addr) *Server {
	return &Server{local: local, methods: make(map[string]method)}
}

// Handle registers a method. It must be called before the first connection. The handler
// receives the connection of the call, on which it may call methods of the remote side.
// Parameters that cannot be decoded are answered with the error invalid params.
func Handle[P, R any](s *Server, name string, handler func(ctx context.Context, c *Conn, params P) (R, error)) {
	s.methods[name] = func(ctx context.Context, c *Conn, raw json.RawMessage) (any, error) {
		var params P
		if err := json.Unmarshal(raw, &params); err != nil {
			return nil, &jsonrpc2.Error{Code: jsonrpc2.CodeInvalidParams, Message: err.Error()}
		}
		return handler(ctx, c, params)
	}
}

// Call calls a method of the remote side and waits for its result, for at most CallTimeout.
func Call[R any](ctx context.Context, c *Conn, name string, params any) (R, error) {
	ctx, cancel := context.WithTimeout(ctx, CallTimeout)
	defer cancel()
	var result R
	err := c.rpc.Call(ctx, name, params, &result)
	return result, merry.Wrap(err)
}

// Notify calls a method of the remote side without waiting for a result.
func Notify(ctx context.Context, c *Conn, name string, params any) error {
	return merry.Wrap(c.rpc.Notify(ctx, name, params))
}

// Attach handles calls on an open connection.
func (s *Server) Attach(ctx context.Context, conn net.Conn) *Conn {
	c := &Conn{}
	ready := make(chan struct{})
	handler := jsonrpc2.HandlerWithError(func(ctx context.Context, _ *jsonrpc2.Conn, r *jsonrpc2.Request) (any, error) {
		<-ready
		return s.dispatch(ctx, c, r)
	})
	stream := jsonrpc2.NewPlainObjectStream(&countingConn{Conn: conn, traffic: &s.traffic})
	c.rpc = jsonrpc2.NewConn(ctx, stream, jsonrpc2.AsyncHandler(handler), jsonrpc2.SetLogger(discardLogger{}))
	close(ready)
	return c
}

// Dial opens a connection to an address and handles calls on it.
func (s *Server) Dial(ctx context.Context, address string) (*Conn, error) {
	d := net.Dialer{Timeout: CallTimeout, LocalAddr: &net.TCPAddr{IP: s.local.AsSlice()}}
	conn, err := d.DialContext(ctx, "tcp4", address)
	if err != nil {
		return nil, merry.Wrap(err)
	}
	return s.Attach(ctx, conn), nil
}

// Traffic returns the byte counters, which continue to change.
func (s *Server) Traffic() *Traffic {
	return &s.traffic
}

// Closed returns a channel that is closed when the connection is lost.
func (c *Conn) Closed() <-chan struct{} {
	return c.rpc.DisconnectNotify()
}

// Close closes the connection.
func (c *Conn) Close() error {
	return merry.Wrap(c.rpc.Close())
}

func (s *Server) dispatch(ctx context.Context, c *Conn, r *jsonrpc2.Request) (any, error) {
	m, ok := s.methods[r.Method]
	if !ok {
		return nil, &jsonrpc2.Error{Code: jsonrpc2.CodeMethodNotFound, Message: r.Method}
	}
	if r.Params == nil {
		return m(ctx, c, json.RawMessage("null"))
	}
	return m(ctx, c, *r.Params)
}

// countingConn counts bytes and limits every write to CallTimeout.
type countingConn struct {
	net.Conn
	traffic *Traffic
}

func (c *countingConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	c.traffic.Received.Add(uint64(n))
	return n, err
}

func (c *countingConn) Write(b []byte) (int, error) {
	_ = c.SetWriteDeadline(time.Now().Add(CallTimeout))
	n, err := c.Conn.Write(b)
	c.traffic.Sent.Add(uint64(n))
	return n, err
}

// discardLogger discards the log of the library, which reports peers that close connections.
type discardLogger struct{}

func (discardLogger) Printf(string, ...any) {}
