package main

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"time"
)

// operator is the HTTP client of the operator; it follows a 307 twice.
var operator = &http.Client{
	Timeout:   time.Second,
	Transport: &http.Transport{DisableKeepAlives: true},
	CheckRedirect: func(_ *http.Request, via []*http.Request) error {
		if len(via) > 2 {
			return http.ErrUseLastResponse
		}
		return nil
	},
}

// replaceConfig sends a configuration to one machine after the other until one
// confirms it.
func (s *site) replaceConfig(to []*machine, config map[string]any, limit time.Duration) bool {
	body, err := json.Marshal(config)
	if err != nil {
		panic(err)
	}
	s.rec.printf("operator sends config version %v", config["version"])
	end := time.Now().Add(limit)
	for i := 0; time.Now().Before(end); i++ {
		m := to[i%len(to)]
		resp, err := operator.Post("http://"+m.addr(portOperator)+"/api/configuration/replace", "application/json", bytes.NewReader(body))
		if err == nil {
			text, _ := io.ReadAll(resp.Body)
			_ = resp.Body.Close()
			if resp.StatusCode == http.StatusOK {
				s.rec.printf("config version %v is confirmed (sent to %s)", config["version"], m.name)
				return true
			}
			if resp.StatusCode == http.StatusBadRequest {
				s.rec.printf("config version %v is refused: %s", config["version"], text)
				return false
			}
		}
		time.Sleep(100 * time.Millisecond)
	}
	s.rec.printf("config version %v is not confirmed within %v", config["version"], limit)
	return false
}

// waitReady waits until the readiness address of a machine answers 200.
func waitReady(m *machine, limit time.Duration) bool {
	end := time.Now().Add(limit)
	for time.Now().Before(end) {
		resp, err := operator.Get("http://" + m.addr(portReadiness) + "/api/readyz")
		if err == nil {
			_ = resp.Body.Close()
			if resp.StatusCode == http.StatusOK {
				return true
			}
		}
		time.Sleep(50 * time.Millisecond)
	}
	return false
}

// caller is one request of a client.
type caller struct {
	id, method, path string
	header           map[string]string
	body             string
	timeout          time.Duration
}

// answer is what a client got.
type answer struct {
	status int
	header http.Header
	body   string
	err    error // the channel ended without a complete answer
	took   time.Duration
}

const host = "ficu95.example"

// send sends a request on a channel of its own.
func (s *site) send(ctx context.Context, to *machine, c caller) answer {
	start := time.Now()
	ctx, cancel := context.WithTimeout(ctx, c.timeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, c.method, "http://"+to.addr(portCallers)+c.path, bytes.NewReader([]byte(c.body)))
	if err != nil {
		panic(err)
	}
	req.Host = host
	req.Header.Set("Attempt-Id", c.id)
	req.Header.Set("Deadline-Ms", fmt.Sprint(c.timeout.Milliseconds()))
	for k, v := range c.header {
		req.Header.Set(k, v)
	}
	t := &http.Transport{DisableKeepAlives: true, DisableCompression: true, DialContext: (&net.Dialer{Timeout: time.Second}).DialContext}
	defer t.CloseIdleConnections()
	resp, err := t.RoundTrip(req)
	if err != nil {
		return answer{err: err, took: time.Since(start)}
	}
	defer func() { _ = resp.Body.Close() }()
	body, err := io.ReadAll(resp.Body)
	return answer{resp.StatusCode, resp.Header, string(body), err, time.Since(start)}
}

func (a answer) String() string {
	if a.err != nil {
		return fmt.Sprintf("status %d after %.3f s, incomplete: %v", a.status, a.took.Seconds(), a.err)
	}
	return fmt.Sprintf("status %d after %.3f s, complete, %d bytes", a.status, a.took.Seconds(), len(a.body))
}
