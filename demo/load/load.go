// Package load sends chat requests over HTTP and measures their latency.
package load

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/rotisserie/eris"
	"github.com/sourcegraph/conc/pool"
)

const (
	lowest  = 1          // microseconds
	highest = 60_000_000 // microseconds
	digits  = 3          // significant digits of the histogram
	maxBody = 1 << 20    // bytes of an answer
)

// Target is where requests go.
type Target struct {
	// URL of the server without a path.
	URL   string
	Key   string
	Model string
	// Tokens is the requested number of output tokens.
	Tokens int
}

// Plan bounds a run; the first bound that is reached ends it.
type Plan struct {
	// Clients is the number of concurrent closed loops.
	Clients  int
	Requests int
	Duration time.Duration
}

// Result is the outcome of a run.
type Result struct {
	Latency *hdrhistogram.Histogram // microseconds
	Failed  int64
	// SampleFailure is one failure for the report, or empty.
	SampleFailure string
	Elapsed       time.Duration
}

// Rate returns the finished requests per second.
func (r Result) Rate() float64 {
	return float64(r.Latency.TotalCount()) / r.Elapsed.Seconds()
}

// String returns the figures of a run in one line.
func (r Result) String() string {
	return fmt.Sprintf("requests=%d failed=%d rate=%.0f/s p50=%dus p99=%dus max=%dus",
		r.Latency.TotalCount(), r.Failed, r.Rate(), r.Latency.ValueAtQuantile(50), r.Latency.ValueAtQuantile(99), r.Latency.Max())
}

// Run sends requests to a target. Connections are kept open and reused.
func Run(ctx context.Context, t Target, p Plan) Result {
	transport := &http.Transport{MaxIdleConns: p.Clients, MaxIdleConnsPerHost: p.Clients}
	defer transport.CloseIdleConnections()
	client := &http.Client{Transport: transport}
	ctx, cancel := context.WithTimeout(ctx, p.Duration)
	defer cancel()

	var (
		mu     sync.Mutex // guards result
		result = Result{Latency: hdrhistogram.New(lowest, highest, digits)}
		left   atomic.Int64
	)
	left.Store(int64(p.Requests))
	start := time.Now()
	workers := pool.New()
	for range p.Clients {
		workers.Go(func() {
			own := hdrhistogram.New(lowest, highest, digits)
			failed, first := int64(0), ""
			for left.Add(-1) >= 0 && ctx.Err() == nil {
				took, err := SendChat(ctx, client, t)
				switch {
				case err == nil:
					_ = own.RecordValue(max(lowest, took.Microseconds()))
				case ctx.Err() == nil:
					failed++
					first = err.Error()
				}
			}
			mu.Lock()
			defer mu.Unlock()
			result.Latency.Merge(own)
			result.Failed += failed
			if result.SampleFailure == "" {
				result.SampleFailure = first
			}
		})
	}
	workers.Wait()
	result.Elapsed = time.Since(start)
	return result
}

type message struct {
	Role    string `json:"role"`
	Content string `json:"content"`
}

type chat struct {
	Model    string    `json:"model"`
	Messages []message `json:"messages"`
	Tokens   int       `json:"max_tokens"`
}

// SendChat sends one chat request and reads the whole answer.
func SendChat(ctx context.Context, client *http.Client, t Target) (time.Duration, error) {
	body, err := json.Marshal(chat{Model: t.Model, Messages: []message{{"user", "hello"}}, Tokens: t.Tokens})
	if err != nil {
		return 0, err
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, t.URL+"/v1/chat/completions", bytes.NewReader(body))
	if err != nil {
		return 0, err
	}
	req.Header.Set("Content-Type", "application/json")
	req.Header.Set("Authorization", "Bearer "+t.Key)
	start := time.Now()
	resp, err := client.Do(req)
	if err != nil {
		return 0, err
	}
	defer func() { _ = resp.Body.Close() }()
	answer, err := io.ReadAll(io.LimitReader(resp.Body, maxBody))
	if err != nil {
		return 0, err
	}
	if resp.StatusCode != http.StatusOK {
		return 0, eris.Errorf("status %d: %.200s", resp.StatusCode, answer)
	}
	return time.Since(start), nil
}

// Compare sends to two targets in turn, in slices, so that noise of the
// machine falls on both, and returns one result for each.
func Compare(ctx context.Context, a, b Target, p Plan, slices int) (Result, Result) {
	part := p
	part.Requests /= slices
	part.Duration /= time.Duration(slices)
	ra := Result{Latency: hdrhistogram.New(lowest, highest, digits)}
	rb := Result{Latency: hdrhistogram.New(lowest, highest, digits)}
	for range slices {
		ra.add(Run(ctx, a, part))
		rb.add(Run(ctx, b, part))
	}
	return ra, rb
}

func (r *Result) add(o Result) {
	r.Latency.Merge(o.Latency)
	r.Failed += o.Failed
	r.Elapsed += o.Elapsed
	if r.SampleFailure == "" {
		r.SampleFailure = o.SampleFailure
	}
}
