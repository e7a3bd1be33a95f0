package link

import (
	"encoding/binary"
	"net"
)

// Layout of a yamux frame header: version, type, flags, stream, length.
const (
	headerSize = 12
	typeAt     = 1
	lengthAt   = 8
	dataType   = 0
)

// mostJoined bounds the body that is copied behind its header; for a larger
// one the second write costs less than the copy.
const mostJoined = 16 << 10 // bytes

// joiner writes the header of a yamux frame together with its body. yamux
// writes them one after the other, which costs a system call and a TCP segment
// more for each message. It writes from one goroutine, and a header with a
// length is always followed by its body.
type joiner struct {
	net.Conn
	buf  []byte // holds a header that waits for its body
	held bool
}

func newJoiner(c net.Conn) *joiner { return &joiner{Conn: c, buf: make([]byte, 0, 1<<10)} }

func (j *joiner) Write(b []byte) (int, error) {
	if !j.held {
		if len(b) == headerSize && b[typeAt] == dataType && binary.BigEndian.Uint32(b[lengthAt:]) > 0 {
			j.buf, j.held = append(j.buf[:0], b...), true
			return len(b), nil
		}
		return j.Conn.Write(b)
	}
	j.held = false
	if len(b) > mostJoined {
		if _, err := j.Conn.Write(j.buf); err != nil {
			return 0, err
		}
		return j.Conn.Write(b)
	}
	j.buf = append(j.buf, b...)
	n, err := j.Conn.Write(j.buf)
	return max(0, n-headerSize), err
}
