package link

import (
	"encoding/binary"
	"net"
)

// Layout of a yamux frame header: version, type, flags, stream, length.
const (
	headerSize   = 12
	typeOffset   = 1
	lengthOffset = 8
	typeData     = 0
)

// maxJoinedBody is the largest body that is copied behind its header. For a
// larger one, a second write costs less than the copy.
const maxJoinedBody = 16 << 10 // bytes

// frameJoiner writes the header of a yamux frame together with its body. yamux
// writes them separately, which costs an additional system call and TCP segment
// for each message. frameJoiner relies on yamux writing from one goroutine and
// always writing the body right after a header with a length.
type frameJoiner struct {
	net.Conn
	buf        []byte // holds the header until its body is written
	headerHeld bool
}

func newFrameJoiner(c net.Conn) *frameJoiner {
	return &frameJoiner{Conn: c, buf: make([]byte, 0, 1<<10)}
}

func (j *frameJoiner) Write(b []byte) (int, error) {
	if !j.headerHeld {
		if len(b) == headerSize && b[typeOffset] == typeData && binary.BigEndian.Uint32(b[lengthOffset:]) > 0 {
			j.buf, j.headerHeld = append(j.buf[:0], b...), true
			return len(b), nil
		}
		return j.Conn.Write(b)
	}
	j.headerHeld = false
	if len(b) > maxJoinedBody {
		if _, err := j.Conn.Write(j.buf); err != nil {
			return 0, err
		}
		return j.Conn.Write(b)
	}
	j.buf = append(j.buf, b...)
	n, err := j.Conn.Write(j.buf)
	return max(0, n-headerSize), err
}
