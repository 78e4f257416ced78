// Package caller opens flows to a service, runs requests and sessions on them, and moves to a
// successor flow when the agent requests it.
package caller

import (
	"context"
	"crypto/tls"
	"net"
	"net/netip"
	"sync"
	"time"

	"github.com/ansel1/merry/v2"
	"github.com/quic-go/quic-go"

	"github.com/bergamotgw/bergamotgw/pkg/answer"
	"github.com/bergamotgw/bergamotgw/pkg/request"
	"github.com/bergamotgw/bergamotgw/pkg/verdict"
)

// Protocol is the ALPN name of the flow protocol.
const Protocol = "bergamotgw/1"

// Timing of flows.
const (
	// KeepAlive is the time without traffic after which a caller sends a datagram.
	KeepAlive = 10 * time.Second
	// IdleTimeout is the time without received packets after which a flow ends.
	IdleTimeout = 30 * time.Second
	// attemptDelay is the time after which another attempt to open a flow starts, if none has
	// succeeded.
	attemptDelay = 300 * time.Millisecond
	// maxAttempts is the largest number of attempts to open one flow. They may all run
	// concurrently.
	maxAttempts = 6
	// silenceTimeout is the longest time without any packet from the agent while a request
	// waits for its grant. A live agent acknowledges within one round trip.
	silenceTimeout = time.Second
	// openTimeout limits the opening of a flow, with all attempts.
	openTimeout       = 10 * time.Second
	initialPacketSize = 1200
)

// Caller runs requests and sessions of one service. It is safe for concurrent use.
type Caller struct {
	address   netip.AddrPort
	service   string
	tls       *tls.Config
	budget    *budget
	earlyBody bool
	transport *quic.Transport
	socket    net.PacketConn

	mu sync.Mutex
	// current is the flow for new requests; nil before the first flow is open.
	current *flow
	// opening is closed when the opening of a flow in progress ends; nil if there is none.
	opening chan struct{}
	closed  bool
}

// Option configures a caller.
type Option func(*Caller)

// WithTLS sets the TLS configuration with which agents are authenticated. The server name is
// always the name of the service.
func WithTLS(c *tls.Config) Option {
	return func(x *Caller) { x.tls = c.Clone() }
}

// WithSocket sets the UDP socket. Caller.Close closes it.
func WithSocket(s net.PacketConn) Option {
	return func(x *Caller) { x.socket = s }
}

// WithRetryRatio sets the number of retries that each first try adds to the retry budget.
func WithRetryRatio(ratio float64) Option {
	return func(x *Caller) { x.budget = newBudget(ratio) }
}

// WithEarlyBody makes the caller send the bodies of Once requests without waiting for the grant.
// This saves one round trip, but more failures then end with the verdict MayHaveRun.
func WithEarlyBody() Option {
	return func(x *Caller) { x.earlyBody = true }
}

// NewCaller returns a caller of the service at the address. The first request opens the first
// flow.
func NewCaller(address netip.AddrPort, service string, options ...Option) (*Caller, error) {
	c := &Caller{address: address, service: service, tls: &tls.Config{}, budget: newBudget(defaultRetryRatio)}
	for _, o := range options {
		o(c)
	}
	c.tls.NextProtos = []string{Protocol}
	c.tls.ServerName = service
	c.tls.MinVersion = tls.VersionTLS13
	if c.socket == nil {
		s, err := net.ListenUDP("udp4", nil)
		if err != nil {
			return nil, merry.Prepend(err, "open socket")
		}
		c.socket = s
	}
	c.transport = &quic.Transport{Conn: plainConn{c.socket}}
	return c, nil
}

// Close closes all flows and the socket.
func (c *Caller) Close() error {
	c.mu.Lock()
	c.closed = true
	c.mu.Unlock()
	err := c.transport.Close()
	_ = c.socket.Close()
	return merry.Wrap(err)
}

// Request is one request with its complete body.
type Request struct {
	// Kind is Once or Repeatable.
	Kind request.Kind
	// Key is the idempotency key; required for Once.
	Key string
	// Body is sent to the backend server.
	Body []byte
	// Whole reports whether an answer is complete, if the application can detect this;
	// optional. An incomplete answer is an error with the verdict MayHaveRun.
	Whole func(answer []byte) bool
}

// Answer is a complete answer.
type Answer struct {
	// Body is what the backend server sent.
	Body []byte
	// VM is the name of the backend server VM.
	VM string
	// Tries is the number of times that the request was sent; 1 without retries.
	Tries int
}

// Error is the reason why a request failed, and whether the request may have run.
type Error struct {
	// Verdict states whether the request may have run.
	Verdict verdict.Verdict
	// Reason is set if an agent refused the request.
	Reason answer.Reason
	// Err is the cause.
	Err error
}

// Error returns the verdict, the reason and the cause.
func (e *Error) Error() string {
	text := e.Verdict.String()
	if e.Reason != "" {
		text += " (" + string(e.Reason) + ")"
	}
	if e.Err != nil {
		text += ": " + e.Err.Error()
	}
	return text
}

// Unwrap returns the cause.
func (e *Error) Unwrap() error {
	return e.Err
}

// plainConn hides from quic-go that the socket is a *net.UDPConn, which switches off
// segmentation offload and path MTU discovery: neither works on a path through several
// balancers.
type plainConn struct {
	net.PacketConn
}

// bufferedConn is a socket whose kernel buffers can be resized.
type bufferedConn interface {
	SetReadBuffer(bytes int) error
	SetWriteBuffer(bytes int) error
}

// SetReadBuffer sets the size of the kernel's receive buffer, in bytes.
func (c plainConn) SetReadBuffer(n int) error {
	if b, ok := c.PacketConn.(bufferedConn); ok {
		return b.SetReadBuffer(n)
	}
	return nil
}

// SetWriteBuffer sets the size of the kernel's send buffer, in bytes.
func (c plainConn) SetWriteBuffer(n int) error {
	if b, ok := c.PacketConn.(bufferedConn); ok {
		return b.SetWriteBuffer(n)
	}
	return nil
}

// Do runs a request and returns its complete answer. It repeats a Once request only after a
// failure with the verdict NotRun, and a Repeatable one after any failure, while the retry
// budget allows it and the context has not ended. The context's deadline is sent with the
// request. Errors are of type *Error.
func (c *Caller) Do(ctx context.Context, r Request) (Answer, error) {
	var a Answer
	err := c.withRetries(ctx, r.Kind, func(tries int) (err *Error) {
		a, err = c.try(ctx, r)
		a.Tries = tries
		return err
	})
	if err != nil {
		return Answer{}, err
	}
	return a, nil
}
