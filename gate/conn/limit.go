package conn

import (
	"cmp"
	"fmt"
	"io"
	"net/http"
)

const (
	// maxHeadBytes limits the head of an answer, together with the interim
	// answers before it.
	maxHeadBytes = 16 << 10
	// maxHeadFields limits the header lines of one head.
	maxHeadFields = 200
	// maxInterimAnswers limits the interim answers (status 1xx) before the
	// final one.
	maxInterimAnswers = 8
	// maxForeignAnswers is how many answers to other requests are skipped
	// before the connection is given up.
	maxForeignAnswers = 2
	// maxSkippedBytes limits the body of a skipped answer.
	maxSkippedBytes = 1 << 20
)

// OversizeError reports that a backend server sent more than an answer may
// have. The server is faulty: replace it, or raise the limit if its answers
// are sound.
type OversizeError struct {
	// Addr is the address of the server.
	Addr string
	// Part names what was too large.
	Part string
	// Limit is the greatest allowed size, in Unit.
	Limit int
	Unit  string
}

// Error implements error.
func (e OversizeError) Error() string {
	return fmt.Sprintf("backend server %s sent %s over the limit of %d %s", e.Addr, e.Part, e.Limit, e.Unit)
}

// limiter reads from a connection and bounds what is read for one part of an
// answer. Without it, a server that sends a head without end fills the memory.
type limiter struct {
	io.Reader
	left     int   // bytes that may still be read while there is a limit
	oversize error // what Read returns when no more may be read; nil without a limit
}

// Read implements io.Reader.
func (l *limiter) Read(b []byte) (int, error) {
	if l.oversize == nil {
		return l.Reader.Read(b)
	}
	if l.left <= 0 {
		return 0, l.oversize
	}
	n, err := l.Reader.Read(b[:min(len(b), l.left)])
	l.left -= n
	return n, err
}

// limit bounds what is read of the named part until unlimit is called.
func (pc *pooledConn) limit(part string, size int) {
	pc.limiter.left, pc.limiter.oversize = size, OversizeError{pc.addr, part, size, "bytes"}
}

func (pc *pooledConn) unlimit() { pc.limiter.oversize = nil }

// readHead reads the head of the next final answer and skips interim ones.
func (pc *pooledConn) readHead(method string) (*http.Response, error) {
	pc.limit("a head", maxHeadBytes)
	defer pc.unlimit()
	for range maxInterimAnswers + 1 {
		resp, err := http.ReadResponse(pc.r, &http.Request{Method: method})
		if err != nil {
			return nil, cmp.Or(pc.HeadError(), err)
		}
		fields := 0
		for _, values := range resp.Header {
			fields += len(values)
		}
		if fields > maxHeadFields {
			return nil, OversizeError{pc.addr, "a head", maxHeadFields, "lines"}
		}
		if resp.StatusCode >= http.StatusOK {
			return resp, nil
		}
	}
	return nil, OversizeError{pc.addr, "interim answers", maxInterimAnswers, "answers"}
}

// skipBody reads and discards the body of an answer to another request.
func (pc *pooledConn) skipBody(resp *http.Response) error {
	if resp.ContentLength < 0 && len(resp.TransferEncoding) == 0 {
		return errForeign // the end of the connection delimits the body
	}
	pc.limit("the body of an answer to another request", maxSkippedBytes)
	defer pc.unlimit()
	_, err := io.Copy(io.Discard, resp.Body)
	return err
}
