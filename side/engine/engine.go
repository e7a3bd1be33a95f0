// Package engine is the client of a model engine.
package engine

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"io"
	"net"
	"net/http"
	"slices"
	"strconv"
	"sync"
	"time"

	"github.com/rotisserie/eris"

	"citronledge.example/core/fault"
	"citronledge.example/core/ident"
	"citronledge.example/side/guard"
)

// Headers of a chat.
const (
	requestHeader  = "X-Request-Id"
	priorityHeader = "X-Priority"
	resumeHeader   = "X-Resume-Tokens"
)

const (
	dialTime  = time.Second
	pollTime  = time.Second // limit for one load report
	misses    = 2           // failed polls before the engine counts as down: one may be a lost packet
	maxReport = 1 << 20     // bytes
	maxAnswer = 32 << 20    // bytes of an answer that is not streamed; a message of a session takes 64 MiB
	maxEvent  = 4 << 20     // bytes of one event of a stream
	orderTime = 60 * time.Second
	idleConns = 256
)

// Client calls one engine. It is safe for concurrent use.
type Client struct {
	url    string
	http   *http.Client
	notice guard.Notifier

	mu     sync.Mutex
	report guard.LoadReport
	failed int
}

// New returns a client of the engine at a base URL. A nil transport means
// plain HTTP over TCP.
func New(url string, transport http.RoundTripper) *Client {
	if transport == nil {
		transport = &http.Transport{
			DialContext:         (&net.Dialer{Timeout: dialTime}).DialContext,
			MaxIdleConnsPerHost: idleConns,
			DisableCompression:  true, // answers are passed on as they are
		}
	}
	return &Client{url: url, http: &http.Client{
		Transport: transport,
		// A redirect would send the work to a place that nobody configured.
		CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
	}}
}

// LoadReport returns the last load report.
func (c *Client) LoadReport() guard.LoadReport {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.report
}

// Changed returns a channel that is closed by the next change of the report.
func (c *Client) Changed() <-chan struct{} { return c.notice.Changed() }

type load struct {
	Running int `json:"running"`
	Queued  int `json:"queued"`
	Slots   int `json:"slots"`
	Models  []struct {
		Model   ident.Model   `json:"model"`
		Version ident.Version `json:"version"`
	} `json:"models"`
	Age int64 `json:"age"` // ms
}

// Watch polls the load report until ctx ends.
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
	ctx, cancel := context.WithTimeout(ctx, pollTime)
	defer cancel()
	l, err := c.load(ctx)
	c.mu.Lock()
	old := c.report
	if err != nil {
		c.failed++
		if c.failed >= misses {
			c.report.Healthy = false
		}
	} else {
		c.failed = 0
		c.report = newReport(l, time.Now())
	}
	changed := !same(old, c.report)
	c.mu.Unlock()
	if changed {
		c.notice.Notify()
	}
}

func newReport(l load, now time.Time) guard.LoadReport {
	r := guard.LoadReport{
		Healthy: true, Running: l.Running, Queued: l.Queued, Slots: l.Slots,
		MeasuredAt: now.Add(-time.Duration(l.Age) * time.Millisecond),
	}
	for _, m := range l.Models {
		r.Served = append(r.Served, ident.Target{Model: m.Model, Version: m.Version})
	}
	return r
}

// same tells whether gates would choose alike. Counts change all the time
// and go out with the regular reports.
func same(a, b guard.LoadReport) bool {
	return a.Healthy == b.Healthy && a.Slots == b.Slots && slices.Equal(a.Served, b.Served)
}

func (c *Client) load(ctx context.Context) (load, error) {
	var l load
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
	err = json.NewDecoder(io.LimitReader(resp.Body, maxReport)).Decode(&l)
	return l, err
}

// Order is a command to the engine: load, unload or role.
type Order struct {
	Kind    string        `json:"kind"`
	Model   ident.Model   `json:"model"`
	Version ident.Version `json:"version"`
	Role    string        `json:"role,omitempty"`
	Fence   ident.Fence   `json:"fence"`
}

// SendOrder sends a command. Call it only through guard.Guard.RunOrder.
func (c *Client) SendOrder(ctx context.Context, o Order) error {
	ctx, cancel := context.WithTimeout(ctx, orderTime)
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

// MayHaveReachedServer tells from the error of a round trip whether the server may have
// seen the request: it cannot have when there was no connection.
func MayHaveReachedServer(err error) bool {
	var op *net.OpError
	return !errors.As(err, &op) || op.Op != "dial"
}
