// Package chunked frames a byte stream on a TCP connection in chunks with an end mark, so that
// a stream on an interrupted connection is never taken for a complete one.
package chunked

import (
	"encoding/binary"
	"io"
	"net"

	"github.com/ansel1/merry/v2"
)

// headerLen is the size of the length before each chunk, in bytes. Length 0 is the end mark.
const headerLen = 2

// maxChunkBytes is the length of the longest chunk that Write sends.
const maxChunkBytes = 32 << 10

// ErrTruncated is returned by reads from a connection that ended without an end mark.
var ErrTruncated = merry.Sentinel("connection ended without an end mark")

// Conn frames both directions of a TCP connection. One goroutine may read while
// another writes.
type Conn struct {
	conn net.Conn
	// unread is the number of bytes of the current chunk that have not been read.
	unread int
	// endRead is true after the end mark was read.
	endRead bool
}

// NewConn returns a Conn on an open connection.
func NewConn(c net.Conn) *Conn {
	return &Conn{conn: c}
}

// Read reads from the current chunk. It returns io.EOF only after the end mark.
func (c *Conn) Read(p []byte) (int, error) {
	if c.endRead {
		return 0, io.EOF
	}
	if c.unread == 0 {
		if err := c.readHeader(); err != nil {
			return 0, err
		}
	}
	n, err := c.conn.Read(p[:min(len(p), c.unread)])
	c.unread -= n
	return n, truncated(err)
}

func (c *Conn) readHeader() error {
	var h [headerLen]byte
	if _, err := io.ReadFull(c.conn, h[:]); err != nil {
		return truncated(err)
	}
	c.unread = int(binary.BigEndian.Uint16(h[:]))
	if c.unread == 0 {
		c.endRead = true
		return io.EOF
	}
	return nil
}

// Write sends p in one or more chunks.
func (c *Conn) Write(p []byte) (int, error) {
	written := 0
	for len(p) > 0 {
		n := min(len(p), maxChunkBytes)
		b := binary.BigEndian.AppendUint16(make([]byte, 0, headerLen+n), uint16(n))
		if _, err := c.conn.Write(append(b, p[:n]...)); err != nil {
			return written, err
		}
		written += n
		p = p[n:]
	}
	return written, nil
}

// CloseWrite sends the end mark.
func (c *Conn) CloseWrite() error {
	_, err := c.conn.Write(make([]byte, headerLen))
	return err
}

// AwaitClose waits until the other side closes the connection or sends anything. It must be
// called only after the end mark was read.
func (c *Conn) AwaitClose() {
	_, _ = c.conn.Read(make([]byte, 1))
}

// Abort closes the connection. The other side reads ErrTruncated unless the end mark was sent first.
func (c *Conn) Abort() {
	_ = c.conn.Close()
}

func truncated(err error) error {
	if err == io.EOF || err == io.ErrUnexpectedEOF {
		return ErrTruncated
	}
	return err
}
