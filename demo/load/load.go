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

	"citronledge.example/core/reply"
)

const (
	minLatencyMicros = 1
	maxLatencyMicros = 60_000_000
	histogramDigits  = 3 // significant decimal digits
	maxAnswerBytes   = 1 << 20
)

// Target is the server and the model that requests go to.
type Target struct {
	// URL is that of the server, without a path.
	URL   string
	Key   string
	Model string
	// Tokens is the requested number of output tokens.
	Tokens int
}

// Plan limits a run, which ends at the first limit that it reaches.
type Plan struct {
	// Clients is the number of concurrent closed loops: each sends its next request
	// after the answer to the previous one.
	Clients  int
	Requests int
	Duration time.Duration
}

// Result is the outcome of a run.
type Result struct {
	Latency *hdrhistogram.Histogram // microseconds
	Failed  int64
	// SampleFailure is one of the failures, for the report; empty without any.
	SampleFailure string
	Elapsed       time.Duration
}

// Rate returns the successful requests per second.
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
	transport := reply.NewTransport(&http.Transport{MaxIdleConns: p.Clients, MaxIdleConnsPerHost: p.Clients})
	defer transport.CloseIdleConnections()
	client := &http.Client{Transport: transport}
	ctx, cancel := context.WithTimeout(ctx, p.Duration)
	defer cancel()

	var (
		mu        sync.Mutex // guards result
		result    = Result{Latency: hdrhistogram.New(minLatencyMicros, maxLatencyMicros, histogramDigits)}
		remaining atomic.Int64
	)
	remaining.Store(int64(p.Requests))
	start := time.Now()
	workers := pool.New()
	for range p.Clients {
		workers.Go(func() {
			latency := hdrhistogram.New(minLatencyMicros, maxLatencyMicros, histogramDigits)
			failed, failure := int64(0), ""
			for remaining.Add(-1) >= 0 && ctx.Err() == nil {
				took, err := SendChat(ctx, client, t)
				switch {
				case err == nil:
					_ = latency.RecordValue(max(minLatencyMicros, took.Microseconds()))
				case ctx.Err() == nil:
					failed++
					failure = err.Error()
				}
			}
			mu.Lock()
			defer mu.Unlock()
			result.Latency.Merge(latency)
			result.Failed += failed
			if result.SampleFailure == "" {
				result.SampleFailure = failure
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

type chatRequest struct {
	Model    string    `json:"model"`
	Messages []message `json:"messages"`
	Tokens   int       `json:"max_tokens"`
}

// SendChat sends one chat request, reads the whole answer and returns the latency.
func SendChat(ctx context.Context, client *http.Client, t Target) (time.Duration, error) {
	body, err := json.Marshal(chatRequest{Model: t.Model, Messages: []message{{"user", "hello"}}, Tokens: t.Tokens})
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
	answer, err := io.ReadAll(io.LimitReader(resp.Body, maxAnswerBytes))
	if err != nil {
		return 0, err
	}
	if resp.StatusCode != http.StatusOK {
		return 0, eris.Errorf("status %d: %.200s", resp.StatusCode, answer)
	}
	return time.Since(start), nil
}

// Compare alternates between two targets in slices, so that noise of the machine
// affects both, and returns one result for each.
func Compare(ctx context.Context, a, b Target, p Plan, slices int) (Result, Result) {
	part := p
	part.Requests /= slices
	part.Duration /= time.Duration(slices)
	ra := Result{Latency: hdrhistogram.New(minLatencyMicros, maxLatencyMicros, histogramDigits)}
	rb := Result{Latency: hdrhistogram.New(minLatencyMicros, maxLatencyMicros, histogramDigits)}
	for range slices {
		ra.merge(Run(ctx, a, part))
		rb.merge(Run(ctx, b, part))
	}
	return ra, rb
}

func (r *Result) merge(o Result) {
	r.Latency.Merge(o.Latency)
	r.Failed += o.Failed
	r.Elapsed += o.Elapsed
	if r.SampleFailure == "" {
		r.SampleFailure = o.SampleFailure
	}
}
