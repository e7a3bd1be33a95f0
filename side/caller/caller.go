// Package caller is the client of a plain service.
package caller

import (
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"net/textproto"
	"net/url"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/rotisserie/eris"

	"citronledge.example/core/fault"
	"citronledge.example/core/ident"
	"citronledge.example/core/wire"
	"citronledge.example/side/engine"
	"citronledge.example/side/guard"
)

// Headers that the service gets.
const (
	IdempotencyKeyHeader = "Idempotency-Key"
	FencingTokenHeader   = "X-Fencing-Token"
	CustomerHeader       = "X-Customer"
	RequestIDHeader      = "X-Request-Id"
)

const (
	dialTime  = time.Second
	probeTime = time.Second // interval and limit of the health probe
	misses    = 2           // failed probes before the service counts as down
	partSize  = 32 << 10    // bytes read at once
	// MaxAnswerBytes bounds the answer of an operation, which the ledger stores.
	MaxAnswerBytes = 1 << 20
	idleConns      = 64
)

// DialFunc connects to the service.
type DialFunc func(ctx context.Context, network, addr string) (net.Conn, error)

// Client calls one instance of a plain service. It is safe for concurrent use.
type Client struct {
	name   ident.Service
	base   *url.URL
	dial   DialFunc
	shared *http.Transport
	slots  int
	notice guard.Notifier

	mu      sync.Mutex
	healthy bool
	failed  int
}

// New returns a client of the service at a base URL. A nil dial means TCP.
func New(name ident.Service, base *url.URL, slots int, dial DialFunc) *Client {
	if dial == nil {
		dial = (&net.Dialer{Timeout: dialTime}).DialContext
	}
	return &Client{name: name, base: base, dial: dial, slots: slots, shared: &http.Transport{
		DialContext: dial, MaxIdleConnsPerHost: idleConns, DisableCompression: true,
	}}
}

// LoadReport returns the state of the service; the side process counts what runs.
func (c *Client) LoadReport() guard.LoadReport {
	c.mu.Lock()
	defer c.mu.Unlock()
	return guard.LoadReport{Healthy: c.healthy, Service: c.name, Slots: c.slots, MeasuredAt: time.Now()}
}

// Changed returns a channel that is closed by the next change of the report.
func (c *Client) Changed() <-chan struct{} { return c.notice.Changed() }

// Watch probes the service by connecting to it, until ctx ends. A request
// would need a path that is free of side effects, which no setting names.
func (c *Client) Watch(ctx context.Context) error {
	tick := time.NewTicker(probeTime)
	defer tick.Stop()
	for {
		c.probe(ctx)
		select {
		case <-tick.C:
		case <-ctx.Done():
			c.shared.CloseIdleConnections()
			return nil
		}
	}
}

func (c *Client) probe(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, probeTime)
	defer cancel()
	conn, err := c.dial(ctx, "tcp", address(c.base))
	if err == nil {
		_ = conn.Close()
	}
	c.mu.Lock()
	old := c.healthy
	c.failed++
	if err == nil {
		c.failed = 0
	}
	c.healthy = err == nil || (old && c.failed < misses)
	changed := old != c.healthy
	c.mu.Unlock()
	if changed {
		c.notice.Notify()
	}
}

func address(u *url.URL) string {
	if u.Port() != "" {
		return u.Host
	}
	if u.Scheme == "https" {
		return net.JoinHostPort(u.Hostname(), "443")
	}
	return net.JoinHostPort(u.Hostname(), "80")
}

// Call passes a repeatable call on and streams its answer to the sink.
func (c *Client) Call(ctx context.Context, w *wire.Work, sink engine.Sink) engine.Outcome {
	req, err := c.request(ctx, w)
	if err != nil {
		return engine.Outcome{Fault: fault.New(fault.Invalid, "the call has a malformed method or path; send a valid one")}
	}
	resp, err := c.shared.RoundTrip(req) // a plain round trip follows no redirects
	if err != nil {
		return engine.FailedOutcome(ctx, err)
	}
	defer func() { _ = resp.Body.Close() }()
	out := engine.Outcome{Ran: true, Status: resp.StatusCode}
	if err := copyAnswer(resp, sink); err != nil {
		out.Fault = engine.FailedOutcome(ctx, err).Fault
	}
	return out
}

// Lookup asks the service whether an operation ran: the key that the service
// got with it is appended to a path. Unlike the operation it may be repeated.
func (c *Client) Lookup(ctx context.Context, w *wire.Work, path string, sink engine.Sink) engine.Outcome {
	if path == "" {
		return engine.Outcome{Fault: fault.New(fault.Invalid, "the route has no look-up any more; settle the operation with ctl settle")}
	}
	return c.Call(ctx, &wire.Work{
		Request: w.GetRequest(), Customer: w.GetCustomer(), Method: http.MethodGet, Path: path + ServiceKey(w.GetOperation()),
	}, sink)
}

func copyAnswer(resp *http.Response, sink engine.Sink) error {
	if err := sink.Head(resp.StatusCode, resp.Header); err != nil {
		return err
	}
	buf := make([]byte, partSize)
	for {
		n, err := resp.Body.Read(buf)
		if n > 0 {
			if err := sink.Chunk(buf[:n]); err != nil {
				return err
			}
		}
		if err == io.EOF {
			return nil
		}
		if err != nil {
			return err
		}
	}
}

// Answer is the whole answer of an operation.
type Answer struct {
	Status  int
	Headers []*wire.Header
	Body    []byte
}

var errSize = eris.Errorf("the answer is larger than %d bytes", MaxAnswerBytes)

// CallOnce makes a call that must run at most once. It connects, asks check
// whether the call may still be made, and only then sends it. The outcome
// has Ran set as soon as the service may have seen any of it.
func (c *Client) CallOnce(ctx context.Context, w *wire.Work, check func() *fault.Fault) (*Answer, engine.Outcome) {
	req, err := c.request(ctx, w)
	if err != nil {
		return nil, engine.Outcome{Fault: fault.New(fault.Invalid, "the call has a malformed method or path; send a valid one")}
	}
	conn, err := c.dial(ctx, "tcp", address(c.base))
	if err != nil {
		return nil, engine.Outcome{Fault: fault.New(fault.Unavailable, "cannot connect to the service; use another instance")}
	}
	if f := check(); f != nil {
		_ = conn.Close()
		return nil, engine.Outcome{Fault: f}
	}
	// net/http resends a request with an Idempotency-Key by itself when a
	// reused connection breaks. A connection of its own, used once, and a
	// body that cannot be read again rule that out.
	once := &http.Transport{
		DialContext:       useOnce(conn),
		DisableKeepAlives: true, DisableCompression: true,
	}
	resp, err := once.RoundTrip(req)
	if err != nil {
		return nil, ran(engine.FailedOutcome(ctx, err))
	}
	defer func() { _ = resp.Body.Close() }()
	body, err := io.ReadAll(io.LimitReader(resp.Body, MaxAnswerBytes+1))
	if err == nil && len(body) > MaxAnswerBytes {
		err = errSize
	}
	if err != nil {
		return nil, ran(engine.FailedOutcome(ctx, err))
	}
	a := &Answer{Status: resp.StatusCode, Headers: WireHeaders(resp.Header), Body: body}
	return a, engine.Outcome{Ran: true, Status: resp.StatusCode}
}

func ran(o engine.Outcome) engine.Outcome {
	o.Ran = true
	o.Fault = fault.New(fault.Unknown, "the service did not answer: the outcome of the operation is unknown; settle it with ctl settle")
	return o
}

func useOnce(conn net.Conn) DialFunc {
	return func(context.Context, string, string) (net.Conn, error) {
		if conn == nil {
			return nil, eris.New("the connection of an operation is used once")
		}
		given := conn
		conn = nil
		return given, nil
	}
}

// onceBody hides the other methods of its reader, so that net/http cannot
// rewind it.
type onceBody struct{ io.Reader }

func (onceBody) Close() error { return nil }

func (c *Client) request(ctx context.Context, w *wire.Work) (*http.Request, error) {
	// Only the path and query are taken, so that no path leads elsewhere.
	from, err := url.ParseRequestURI(w.GetPath())
	if err != nil {
		return nil, err
	}
	u := *c.base
	u.Path, u.RawPath, u.RawQuery = from.Path, from.RawPath, from.RawQuery
	req, err := http.NewRequestWithContext(ctx, w.GetMethod(), u.String(), nil)
	if err != nil {
		return nil, err
	}
	if len(w.GetBody()) > 0 {
		req.Body = onceBody{bytes.NewReader(w.GetBody())}
		req.ContentLength = int64(len(w.GetBody()))
	}
	for _, h := range w.GetHeaders() {
		req.Header.Add(h.GetName(), h.GetValue())
	}
	clean(req.Header)
	for _, name := range private {
		req.Header.Del(name)
	}
	req.Header.Set(CustomerHeader, w.GetCustomer())
	req.Header.Set(RequestIDHeader, w.GetRequest())
	if w.GetOperation() != "" {
		req.Header.Set(FencingTokenHeader, strconv.FormatUint(w.GetFence(), 10))
		req.Header.Set(IdempotencyKeyHeader, ServiceKey(w.GetOperation()))
	} else if key := req.Header.Get(IdempotencyKeyHeader); key != "" {
		req.Header.Set(IdempotencyKeyHeader, ServiceKey(w.GetCustomer()+"/"+w.GetRoute()+"/"+key))
	}
	return req, nil
}

var (
	// hops are the headers of one connection.
	hops = []string{
		"Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization", "Proxy-Connection", "Te", "Trailer",
		"Transfer-Encoding", "Upgrade",
	}
	// private headers of a caller do not reach the service: the bearer key is
	// meant for citronledge, the others are set here.
	private = []string{"Authorization", FencingTokenHeader, CustomerHeader, RequestIDHeader, "Host", "Content-Length", "Expect"}
)

func clean(h http.Header) {
	for _, line := range h.Values("Connection") {
		for name := range strings.SplitSeq(line, ",") {
			h.Del(textproto.TrimString(name))
		}
	}
	for _, name := range hops {
		h.Del(name)
	}
}

// WireHeaders converts the headers of an answer, without those of the connection.
func WireHeaders(h http.Header) []*wire.Header {
	h = h.Clone()
	clean(h)
	var list []*wire.Header
	for name, values := range h {
		for _, value := range values {
			list = append(list, &wire.Header{Name: name, Value: value})
		}
	}
	slices.SortStableFunc(list, func(a, b *wire.Header) int { return strings.Compare(a.GetName(), b.GetName()) })
	return list
}
