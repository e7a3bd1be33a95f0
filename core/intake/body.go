package intake

import (
	"errors"
	"io"
	"net/http"
	"os"
	"time"
)

const (
	// BodyShare is the part of each body that is always available.
	BodyShare Bytes = 8 << 10
	// maxBodyPause is the longest pause in a body, and minBodyRate the least rate
	// in bytes per second, averaged over the body, after that time.
	maxBodyPause = 5 * time.Second
	minBodyRate  = 512
	// RefusalTime bounds how long the rest of a refused request is read, and how
	// long its answer may take to be written.
	RefusalTime = time.Second
)

// Errors of ReadBody. Any other error means that the client left.
var (
	ErrTooLarge = errors.New("the body is over the limit")
	ErrTooSlow  = errors.New("the body did not arrive in time")
	ErrNoRoom   = errors.New("no memory for the body")
)

// ReadBody reads the body of a request, at most limit bytes and until a
// deadline. The hold is charged with what the body occupies and must be closed
// when the body is no longer needed; it is nil if there is an error.
func (b *Budget) ReadBody(w http.ResponseWriter, r *http.Request, limit int64, deadline time.Time) (*Hold, []byte, error) {
	if r.ContentLength > limit {
		return nil, nil, ErrTooLarge
	}
	if r.ContentLength == 0 {
		return nil, nil, nil
	}
	control := http.NewResponseController(w)
	// An error of SetReadDeadline means that the body does not come from a
	// connection, as in tests.
	x := &bodyReader{
		r: r.Body, limit: limit, sized: r.ContentLength > 0, deadline: deadline, start: time.Now(),
		setDeadline: func(t time.Time) { _ = control.SetReadDeadline(t) },
	}
	if x.sized {
		x.limit = r.ContentLength
	}
	x.hold = b.Open(BodyShare, func() { x.setDeadline(time.Unix(1, 0)) })
	err := x.read()
	if err == nil && !x.hold.Seal() {
		err = ErrNoRoom
	}
	if err != nil {
		x.hold.Close()
		return nil, nil, err
	}
	x.setDeadline(time.Time{})
	return x.hold, x.buf, nil
}

// bodyReader reads one body into a buffer that is charged to a hold.
type bodyReader struct {
	r           io.Reader
	limit       int64 // in bytes
	sized       bool  // the body has exactly limit bytes
	deadline    time.Time
	start       time.Time
	setDeadline func(time.Time)
	hold        *Hold
	buf         []byte
}

// read reads into a buffer that doubles, since the announced length is no proof
// that so many bytes will arrive.
func (x *bodyReader) read() error {
	maxCap := x.limit
	if !x.sized {
		maxCap++ // to notice a body over the limit
	}
	for {
		if len(x.buf) == cap(x.buf) && !x.grow(maxCap) {
			return ErrNoRoom
		}
		now := time.Now()
		rateEnd := x.start.Add(maxBodyPause + time.Duration(len(x.buf))*time.Second/minBodyRate)
		end := earliest(x.deadline, earliest(rateEnd, now.Add(maxBodyPause)))
		x.setDeadline(end)
		if x.hold.Evicted() { // its interrupt may have come before the deadline was set
			return ErrNoRoom
		}
		n, err := x.r.Read(x.buf[len(x.buf):cap(x.buf)])
		x.buf = x.buf[:len(x.buf)+n]
		switch {
		case !x.sized && int64(len(x.buf)) > x.limit:
			return ErrTooLarge
		case x.sized && int64(len(x.buf)) == x.limit, errors.Is(err, io.EOF) && !x.sized:
			return nil
		case err != nil && x.hold.Evicted():
			return ErrNoRoom
		case errors.Is(err, os.ErrDeadlineExceeded):
			return ErrTooSlow
		case errors.Is(err, io.EOF):
			return io.ErrUnexpectedEOF
		case err != nil:
			return err
		}
	}
}

// grow doubles the buffer, up to maxCap bytes. It returns false if the budget has
// no room.
func (x *bodyReader) grow(maxCap int64) bool {
	size := min(max(2*int64(cap(x.buf)), int64(BodyShare)), maxCap)
	if !x.hold.Grow(Bytes(size)) {
		return false
	}
	old := Bytes(cap(x.buf))
	bigger := make([]byte, len(x.buf), size)
	copy(bigger, x.buf)
	x.buf = bigger
	x.hold.Shrink(old)
	return true
}

func earliest(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}

// EndRefused bounds the time that a refused request still takes: its body may
// not have been read, and its client may read no answer.
func EndRefused(w http.ResponseWriter) {
	control := http.NewResponseController(w)
	end := time.Now().Add(RefusalTime)
	// Errors mean that there is no connection, as in tests.
	_ = control.SetReadDeadline(end)
	_ = control.SetWriteDeadline(end)
}

// WithoutBody returns a handler that refuses requests with a body.
func WithoutBody(h http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.ContentLength != 0 {
			EndRefused(w)
			w.Header().Set("Connection", "close")
			w.WriteHeader(http.StatusRequestEntityTooLarge)
			return
		}
		h.ServeHTTP(w, r)
	})
}
