// Package chunked marks the end of a byte stream on a TCP connection, so that
// a connection that was cut is never taken for a complete one.
package chunked

import (
	"encoding/binary"
	"io"
	"net"

	"github.com/ansel1/merry/v2"
)

// headerLen is the size of a chunk's length, in bytes. Length 0 ends the stream.
const headerLen = 2

// maxChunkBytes is the longest chunk.
const maxChunkBytes = 32 << 10

// ErrCut is returned by reads from a connection that ended without an end mark.
var ErrCut = merry.Sentinel("connection ended without an end mark")

// Conn frames both directions of a TCP connection. One goroutine may read while
// another writes.
type Conn struct {
	conn net.Conn
	// left is how many bytes of the present chunk are unread.
	left int
	// ended is true once the end mark was read.
	ended bool
}

// NewConn returns the framing of an open connection.
func NewConn(c net.Conn) *Conn {
	return &Conn{conn: c}
}

// Read returns io.EOF only after the end mark.
func (c *Conn) Read(p []byte) (int, error) {
	if c.ended {
		return 0, io.EOF
	}
	if c.left == 0 {
		if err := c.readHeader(); err != nil {
			return 0, err
		}
	}
	n, err := c.conn.Read(p[:min(len(p), c.left)])
	c.left -= n
	return n, cut(err)
}

func (c *Conn) readHeader() error {
	var h [headerLen]byte
	if _, err := io.ReadFull(c.conn, h[:]); err != nil {
		return cut(err)
	}
	c.left = int(binary.BigEndian.Uint16(h[:]))
	if c.left == 0 {
		c.ended = true
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

// Abort closes the connection; the other side reads ErrCut unless the end mark
// was sent before.
func (c *Conn) Abort() {
	_ = c.conn.Close()
}

func cut(err error) error {
	if err == io.EOF || err == io.ErrUnexpectedEOF {
		return ErrCut
	}
	return err
}
