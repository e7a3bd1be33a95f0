package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync/atomic"
	"time"
)

// request is one client attempt.
type request struct {
	attempt            string
	method, host, path string
	headers            []string
	body               string
	deadline           time.Duration // that the client waits
}

// reply is how a client attempt ended.
type reply struct {
	status int // 0: none
	header http.Header
	body   string
	err    error // the answer did not come, or not to its end
	took   time.Duration
}

var attempts atomic.Uint64

// newAttempt returns an id that no other attempt has.
func newAttempt() string {
	return fmt.Sprintf("%08x%08x", uint32(time.Now().UnixNano()), attempts.Add(1))
}

// send sends a request to a machine on a new channel and reads its answer.
func (s *site) send(m *machine, q request) reply {
	s.rec.add("client", "sends %s %s%s to %s", q.attempt, q.host, q.path, m.name)
	start := time.Now()
	p := exchange(net.JoinHostPort(m.ip, strconv.Itoa(callerPort)), q)
	p.took = time.Since(start)
	s.rec.add("client", "gets %s: status %d, signature %q, retry after %q, %d bytes, err %v, took %d ms", q.attempt, p.status,
		p.header.Get("Server-Signature"), p.header.Get("Retry-After"), len(p.body), p.err, p.took.Milliseconds())
	return p
}

func exchange(addr string, q request) (p reply) {
	c, err := net.DialTimeout("tcp", addr, time.Second)
	if err != nil {
		return reply{err: err}
	}
	defer c.Close()
	_ = c.SetDeadline(time.Now().Add(q.deadline))
	var b strings.Builder
	fmt.Fprintf(&b, "%s %s HTTP/1.1\r\nHost: %s\r\nAttempt-Id: %s\r\nDeadline-Ms: %d\r\n", q.method, q.path, q.host, q.attempt, q.deadline.Milliseconds())
	for _, h := range q.headers {
		b.WriteString(h + "\r\n")
	}
	if q.method == http.MethodPost {
		fmt.Fprintf(&b, "Content-Length: %d\r\n", len(q.body))
	}
	b.WriteString("\r\n" + q.body)
	if _, err := io.WriteString(c, b.String()); err != nil {
		return reply{err: err}
	}
	resp, err := http.ReadResponse(bufio.NewReader(c), &http.Request{Method: q.method})
	if err != nil {
		return reply{err: err}
	}
	body, err := io.ReadAll(resp.Body)
	return reply{status: resp.StatusCode, header: resp.Header, body: string(body), err: err}
}

// retryAfter returns the pause that an answer asks for.
func (p reply) retryAfter() time.Duration {
	n, err := strconv.ParseFloat(p.header.Get("Retry-After"), 64)
	if err != nil {
		return 0
	}
	return time.Duration(n * float64(time.Second))
}
