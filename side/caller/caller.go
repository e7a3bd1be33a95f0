// Package caller is the client through which a side process calls a plain
// service.
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

	"citronledge.example/core/crash"
	"citronledge.example/core/fault"
	"citronledge.example/core/ident"
	"citronledge.example/core/reply"
	"citronledge.example/core/wire"
	"citronledge.example/side/engine"
	"citronledge.example/side/guard"
)

// Headers that the client sets on requests to the service.
const (
	IdempotencyKeyHeader = "Idempotency-Key"
	FencingTokenHeader   = "X-Fencing-Token"
	CustomerHeader       = "X-Customer"
	RequestIDHeader      = "X-Request-Id"
)

const (
	dialTimeout           = time.Second
	probeInterval         = time.Second // interval between health probes, and timeout of one
	failedProbesUntilDown = 2           // consecutive failed probes
	readBufferBytes       = 32 << 10    // bytes read from an answer at once
	// MaxAnswerBytes limits the answer of an operation, which the ledger
	// stores.
	MaxAnswerBytes = 1 << 20
	maxIdleConns   = 64
)

// DialFunc connects to the service.
type DialFunc func(ctx context.Context, network, addr string) (net.Conn, error)

// Client calls one instance of a plain service. It is safe for concurrent use.
type Client struct {
	name      ident.Service
	base      *url.URL
	dial      DialFunc
	transport *reply.Transport
	slots     int
	notifier  guard.Notifier

	mu           sync.Mutex
	healthy      bool
	failedProbes int
}

// New returns a client of the service at a base URL. With a nil dial it
// connects over TCP.
func New(name ident.Service, base *url.URL, slots int, dial DialFunc) *Client {
	if dial == nil {
		dial = (&net.Dialer{Timeout: dialTimeout}).DialContext
	}
	return &Client{name: name, base: base, dial: dial, slots: slots, transport: reply.NewTransport(&http.Transport{
		DialContext: dial, MaxIdleConnsPerHost: maxIdleConns, DisableCompression: true, MaxResponseHeaderBytes: engine.MaxHeadBytes,
	})}
}

// LoadReport returns the state of the service. It leaves out the number of
// running works, which the side process counts itself.
func (c *Client) LoadReport() guard.LoadReport {
	c.mu.Lock()
	defer c.mu.Unlock()
	return guard.LoadReport{Healthy: c.healthy, Service: c.name, Slots: c.slots, MeasuredAt: time.Now()}
}

// Changed returns a channel that is closed by the next change of the report.
func (c *Client) Changed() <-chan struct{} { return c.notifier.Changed() }

// Watch probes the service until ctx ends. It only connects to it: a request
// would need a path without side effects, and no setting names one.
func (c *Client) Watch(ctx context.Context) error {
	tick := time.NewTicker(probeInterval)
	defer tick.Stop()
	for {
		c.probe(ctx)
		select {
		case <-tick.C:
		case <-ctx.Done():
			c.transport.CloseIdleConnections()
			return nil
		}
	}
}

func (c *Client) probe(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, probeInterval)
	defer cancel()
	conn, err := c.dial(ctx, "tcp", dialAddress(c.base))
	if err == nil {
		_ = conn.Close()
	}
	c.mu.Lock()
	old := c.healthy
	c.failedProbes++
	if err == nil {
		c.failedProbes = 0
	}
	c.healthy = err == nil || (old && c.failedProbes < failedProbesUntilDown)
	changed := old != c.healthy
	c.mu.Unlock()
	if changed {
		c.notifier.Notify()
	}
}

func dialAddress(u *url.URL) string {
	if u.Port() != "" {
		return u.Host
	}
	if u.Scheme == "https" {
		return net.JoinHostPort(u.Hostname(), "443")
	}
	return net.JoinHostPort(u.Hostname(), "80")
}

// Call makes a repeatable call and streams its answer to the sink.
func (c *Client) Call(ctx context.Context, w *wire.Work, sink engine.Sink) engine.Outcome {
	req, err := c.newRequest(ctx, w)
	if err != nil {
		return engine.Outcome{Fault: fault.New(fault.Invalid, "the call has a malformed method or path; send a valid one")}
	}
	resp, err := c.transport.RoundTrip(req) // unlike an http.Client, follows no redirects
	if err != nil {
		return engine.FailedOutcome(ctx, err)
	}
	defer func() { _ = resp.Body.Close() }()
	out := engine.Outcome{Ran: true, Status: resp.StatusCode}
	if err := streamAnswer(resp, sink); err != nil {
		out.Fault = engine.FailedOutcome(ctx, err).Fault
		out.Broke = crash.HasEnded(ctx, err, c.dialService)
	}
	return out
}

func (c *Client) dialService(ctx context.Context) (net.Conn, error) {
	return c.dial(ctx, "tcp", dialAddress(c.base))
}

// Lookup asks the service whether an operation ran, with a GET request to path
// followed by the operation's ServiceKey. Unlike the operation, a look-up may
// be repeated.
func (c *Client) Lookup(ctx context.Context, w *wire.Work, path string, sink engine.Sink) engine.Outcome {
	if path == "" {
		return engine.Outcome{Fault: fault.New(fault.Invalid, "the route has no look-up any more; settle the operation with ctl settle")}
	}
	return c.Call(ctx, &wire.Work{
		Request: w.GetRequest(), Customer: w.GetCustomer(), Method: http.MethodGet, Path: path + ServiceKey(w.GetOperation()),
	}, sink)
}

func streamAnswer(resp *http.Response, sink engine.Sink) error {
	if err := sink.Head(resp.StatusCode, resp.Header); err != nil {
		return err
	}
	buf := make([]byte, readBufferBytes)
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

var errAnswerTooLarge = eris.Errorf("the answer is larger than %d bytes", MaxAnswerBytes)

// CallOnce makes a call that must run at most once. It connects, then calls
// check, and sends the request only if check returns nil. Ran is set in the
// outcome once the service may have received any part of the request.
func (c *Client) CallOnce(ctx context.Context, w *wire.Work, check func() *fault.Fault) (*Answer, engine.Outcome) {
	req, err := c.newRequest(ctx, w)
	if err != nil {
		return nil, engine.Outcome{Fault: fault.New(fault.Invalid, "the call has a malformed method or path; send a valid one")}
	}
	conn, err := c.dial(ctx, "tcp", dialAddress(c.base))
	if err != nil {
		return nil, engine.Outcome{Fault: fault.New(fault.Unavailable, "cannot connect to the service; use another instance")}
	}
	if f := check(); f != nil {
		_ = conn.Close()
		return nil, engine.Outcome{Fault: f}
	}
	// net/http resends a request that has an Idempotency-Key when a reused
	// connection breaks. A separate connection that is used once and a body
	// that cannot be read again prevent that.
	transport := reply.NewTransport(&http.Transport{
		DialContext:       singleUseDialer(conn),
		DisableKeepAlives: true, DisableCompression: true, MaxResponseHeaderBytes: engine.MaxHeadBytes,
	})
	resp, err := transport.RoundTrip(req)
	if err != nil {
		return nil, unknownOutcome(engine.FailedOutcome(ctx, err))
	}
	defer func() { _ = resp.Body.Close() }()
	body, err := io.ReadAll(io.LimitReader(resp.Body, MaxAnswerBytes+1))
	if err == nil && len(body) > MaxAnswerBytes {
		err = errAnswerTooLarge
	}
	if err != nil {
		out := engine.FailedOutcome(ctx, err)
		out.Broke = crash.HasEnded(ctx, err, c.dialService)
		return nil, unknownOutcome(out)
	}
	a := &Answer{Status: resp.StatusCode, Headers: WireHeaders(resp.Header), Body: body}
	return a, engine.Outcome{Ran: true, Status: resp.StatusCode}
}

// unknownOutcome replaces a failure by a fault that says that the operation may
// have run.
func unknownOutcome(o engine.Outcome) engine.Outcome {
	o.Ran = true
	o.Fault = fault.New(fault.Unknown, "the service did not answer: the outcome of the operation is unknown; settle it with ctl settle")
	return o
}

// singleUseDialer returns a dialer that returns conn once and then fails.
func singleUseDialer(conn net.Conn) DialFunc {
	return func(context.Context, string, string) (net.Conn, error) {
		if conn == nil {
			return nil, eris.New("the connection of an operation is used once")
		}
		first := conn
		conn = nil
		return first, nil
	}
}

// oneShotBody hides the other methods of its reader, so that net/http cannot
// rewind it.
type oneShotBody struct{ io.Reader }

func (oneShotBody) Close() error { return nil }

func (c *Client) newRequest(ctx context.Context, w *wire.Work) (*http.Request, error) {
	// Only the path and the query are used, so that no path leads to another
	// host.
	target, err := url.ParseRequestURI(w.GetPath())
	if err != nil {
		return nil, err
	}
	u := *c.base
	u.Path, u.RawPath, u.RawQuery = target.Path, target.RawPath, target.RawQuery
	req, err := http.NewRequestWithContext(ctx, w.GetMethod(), u.String(), nil)
	if err != nil {
		return nil, err
	}
	if len(w.GetBody()) > 0 {
		req.Body = oneShotBody{bytes.NewReader(w.GetBody())}
		req.ContentLength = int64(len(w.GetBody()))
	}
	for _, h := range w.GetHeaders() {
		req.Header.Add(h.GetName(), h.GetValue())
	}
	removeConnectionHeaders(req.Header)
	for _, name := range strippedHeaders {
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
	// connectionHeaders are the hop-by-hop headers, which apply to one
	// connection.
	connectionHeaders = []string{
		"Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization", "Proxy-Connection", "Te", "Trailer",
		"Transfer-Encoding", "Upgrade",
	}
	// strippedHeaders of a caller don't reach the service: the bearer key is
	// meant for citronledge, and the client sets the others itself.
	strippedHeaders = []string{"Authorization", FencingTokenHeader, CustomerHeader, RequestIDHeader, "Host", "Content-Length", "Expect"}
)

// removeConnectionHeaders removes the hop-by-hop headers, including those that
// Connection names.
func removeConnectionHeaders(h http.Header) {
	for _, line := range h.Values("Connection") {
		for name := range strings.SplitSeq(line, ",") {
			h.Del(textproto.TrimString(name))
		}
	}
	for _, name := range connectionHeaders {
		h.Del(name)
	}
}

// WireHeaders converts the headers of an answer, without the hop-by-hop
// headers.
func WireHeaders(h http.Header) []*wire.Header {
	h = h.Clone()
	removeConnectionHeaders(h)
	var list []*wire.Header
	for name, values := range h {
		for _, value := range values {
			list = append(list, &wire.Header{Name: name, Value: value})
		}
	}
	slices.SortStableFunc(list, func(a, b *wire.Header) int { return strings.Compare(a.GetName(), b.GetName()) })
	return list
}
