// Package engine is the client through which a side process calls a model
// engine.
package engine

import (
	"bytes"
	"cmp"
	"context"
	"encoding/json"
	"errors"
	"io"
	"net"
	"net/http"
	"net/url"
	"slices"
	"strconv"
	"sync"
	"time"

	"github.com/rotisserie/eris"

	"citronledge.example/core/fault"
	"citronledge.example/core/ident"
	"citronledge.example/core/reply"
	"citronledge.example/side/guard"
)

// Headers that the client sets on chat requests.
const (
	requestHeader  = "X-Request-Id"
	priorityHeader = "X-Priority"
	resumeHeader   = "X-Resume-Tokens"
)

const (
	dialTimeout          = time.Second
	pollTimeout          = time.Second // for one load report
	failedPollsUntilDown = 2           // consecutive failed polls; a single one may be due to packet loss
	maxReportBytes       = 1 << 20
	maxAnswerBytes       = 32 << 20 // of an answer that is not streamed; less than the 64 MiB limit of a message in a session
	maxEventBytes        = 4 << 20  // of one event of a stream
	orderTimeout         = 60 * time.Second
	maxIdleConns         = 256
	// MaxHeadBytes limits the head of an answer, with the interim answers before
	// it: a faulty server may send one without end.
	MaxHeadBytes = 64 << 10
)

// Client calls one engine. It is safe for concurrent use.
type Client struct {
	url      string
	addr     string // HOST:PORT, for probes
	http     *http.Client
	notifier guard.Notifier

	mu          sync.Mutex
	report      guard.LoadReport
	failedPolls int
}

// New returns a client of the engine at a base URL. With a nil transport it
// uses HTTP over TCP.
func New(base string, transport http.RoundTripper) *Client {
	if transport == nil {
		transport = reply.NewTransport(&http.Transport{
			DialContext:         (&net.Dialer{Timeout: dialTimeout}).DialContext,
			MaxIdleConnsPerHost: maxIdleConns, MaxResponseHeaderBytes: MaxHeadBytes,
			DisableCompression: true, // answers are forwarded unchanged
		})
	}
	return &Client{url: base, addr: address(base), http: &http.Client{
		Transport: transport,
		// A redirect would send the work to a server that is not configured.
		CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
	}}
}

// address returns the HOST:PORT of a base URL; empty if it has none.
func address(base string) string {
	u, err := url.Parse(base)
	if err != nil {
		return ""
	}
	return net.JoinHostPort(u.Hostname(), cmp.Or(u.Port(), map[string]string{"http": "80", "https": "443"}[u.Scheme]))
}

// LoadReport returns the last load report of the engine.
func (c *Client) LoadReport() guard.LoadReport {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.report
}

// Changed returns a channel that is closed by the next change of the report.
func (c *Client) Changed() <-chan struct{} { return c.notifier.Changed() }

// loadResponse is the engine's answer to GET /load.
type loadResponse struct {
	Running int `json:"running"`
	Queued  int `json:"queued"`
	Slots   int `json:"slots"`
	Models  []struct {
		Model   ident.Model   `json:"model"`
		Version ident.Version `json:"version"`
	} `json:"models"`
	Age int64 `json:"age"` // of the report, in ms
}

// Watch polls the load report of the engine until ctx ends.
func (c *Client) Watch(ctx context.Context) error {
	tick := time.NewTicker(ident.MinLoadInterval)
	defer tick.Stop()
	for {
		c.poll(ctx)
		select {
		case <-tick.C:
		case <-ctx.Done():
			return nil
		}
	}
}

func (c *Client) poll(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, pollTimeout)
	defer cancel()
	l, err := c.fetchLoad(ctx)
	if c.record(l, err) {
		c.notifier.Notify()
	}
}

// record stores what a poll has found, and reports whether it matters for routing.
func (c *Client) record(l loadResponse, err error) (changed bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	old := c.report
	if err != nil {
		c.failedPolls++
		if c.failedPolls >= failedPollsUntilDown {
			c.report.Healthy = false
		}
	} else {
		c.failedPolls = 0
		c.report = newReport(l, time.Now())
	}
	return !equalForRouting(old, c.report)
}

func newReport(l loadResponse, now time.Time) guard.LoadReport {
	r := guard.LoadReport{
		Healthy: true, Running: l.Running, Queued: l.Queued, Slots: l.Slots,
		MeasuredAt: now.Add(-time.Duration(l.Age) * time.Millisecond),
	}
	for _, m := range l.Models {
		r.Served = append(r.Served, ident.Target{Model: m.Model, Version: m.Version})
	}
	return r
}

// equalForRouting reports whether gates would choose the same candidates with
// either report. It ignores the counts of works, which change all the time and
// go out with the regular reports.
func equalForRouting(a, b guard.LoadReport) bool {
	return a.Healthy == b.Healthy && a.Slots == b.Slots && slices.Equal(a.Served, b.Served)
}

func (c *Client) fetchLoad(ctx context.Context) (loadResponse, error) {
	var l loadResponse
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, c.url+"/load", nil)
	if err != nil {
		return l, err
	}
	resp, err := c.http.Do(req)
	if err != nil {
		return l, err
	}
	defer func() { _ = resp.Body.Close() }()
	if resp.StatusCode != http.StatusOK {
		return l, eris.Errorf("load report has status %d", resp.StatusCode)
	}
	err = json.NewDecoder(io.LimitReader(resp.Body, maxReportBytes)).Decode(&l)
	return l, err
}

// Order is a command to the engine. Its Kind is load, unload or role.
type Order struct {
	Kind    string        `json:"kind"`
	Model   ident.Model   `json:"model"`
	Version ident.Version `json:"version"`
	Role    string        `json:"role,omitempty"`
	Fence   ident.Fence   `json:"fence"`
}

// SendOrder sends an order. It must be called only by guard.Guard.RunOrder,
// which checks the sublease and the fence.
func (c *Client) SendOrder(ctx context.Context, o Order) error {
	ctx, cancel := context.WithTimeout(ctx, orderTimeout)
	defer cancel()
	body, err := json.Marshal(o)
	if err != nil {
		return err
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, c.url+"/orders", bytes.NewReader(body))
	if err != nil {
		return err
	}
	resp, err := c.http.Do(req)
	if err != nil {
		return fault.New(fault.Unknown, "the engine did not answer the order; look at its load report before the next one")
	}
	defer func() { _ = resp.Body.Close() }()
	switch {
	case resp.StatusCode == http.StatusConflict:
		return fault.New(fault.Stale, "the engine has seen a newer fence; take a new one from the ledger")
	case resp.StatusCode >= http.StatusMultipleChoices:
		return fault.New(fault.Upstream, "the engine refused the order with status "+strconv.Itoa(resp.StatusCode))
	}
	return nil
}

// MayHaveReachedServer reports whether a request whose round trip failed with
// err may have reached the server. It can't have if no byte of it has gone out.
func MayHaveReachedServer(err error) bool {
	var notSent reply.NotSentError
	return !errors.As(err, &notSent)
}
