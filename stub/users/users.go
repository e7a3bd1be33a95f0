// Package users is a stand-in for the users' platform around the processes of the
// system: the settings file that it gives them, its list of backend servers, and
// what its callers, operators and load balancer send. Backend servers are in
// package runner.
package users

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strings"
	"time"
)

// Paths of the calls that processes take.
const (
	ReadyPath   = "/api/readyz"
	ReplacePath = "/api/configuration/replace"
	ReadPath    = "/api/configuration/read"
)

// Node is what a process is told. Empty addresses and folders are left out.
type Node struct {
	Name, IP  string
	SeedAddrs []string // addresses of operators' interfaces
	// FirstInternalPort is the first of the ten ports between our processes.
	FirstInternalPort                       int
	Bootstrap                               bool
	CallerAddr, ReadinessAddr, OperatorAddr string // addresses to listen on
	DataDir                                 string // folder on the disk
	BackendListAddr                         string // address of the list of backend servers
	ToleratedLosses                         int    // disks that may be lost at the same time
	StopTimeout, DrainTimeout               time.Duration
	RetryBudgetRatio, RetryBudgetSlack      float64
}

// SettingsFile returns the settings file.
func (n Node) SettingsFile() ([]byte, error) {
	file := map[string]any{
		"node-name": n.Name, "ip": n.IP, "zone": "a", "bootstrap": n.Bootstrap, "seed-nodes": n.SeedAddrs,
		"listen":              map[string]string{"frontend": n.CallerAddr, "readiness": n.ReadinessAddr, "control-plane": n.OperatorAddr},
		"internal-port-range": []int{n.FirstInternalPort, n.FirstInternalPort + 9},
		"limits":              map[string]int{"memory-mb": 128}, "fault-tolerance": map[string]int{"machines": n.ToleratedLosses},
		"bounds": map[string]any{
			"grace-period-s": n.StopTimeout.Seconds(), "drain-timeout-ms": n.DrainTimeout.Milliseconds(), "retry-budget-ratio": n.RetryBudgetRatio,
			"retry-window-s": 10, "budget-slack": n.RetryBudgetSlack, "canary-share": 0.15, "session-s": 5,
		},
		"cloud-api": map[string]any{"address": n.BackendListAddr, "rate-per-s": 10},
	}
	if n.DataDir != "" {
		file["data-dir"] = n.DataDir
	}
	return json.Marshal(file)
}

// ListedBackend is a backend server in the list.
type ListedBackend struct {
	ID, Service, Address string
	Leaving              bool
}

// WriteList writes the list, in one page.
func WriteList(w io.Writer, entries []ListedBackend) error {
	list := []map[string]any{}
	for _, e := range entries {
		state := "ready"
		if e.Leaving {
			state = "draining"
		}
		list = append(list, map[string]any{
			"id": e.ID, "service": e.Service, "address": e.Address, "zone": "a", "version": "v1",
			"slots": 16, "state": state, "cold-remaining-ms": 0,
		})
	}
	return json.NewEncoder(w).Encode(map[string]any{"instances": list, "next": nil})
}

// RouteKind of the requests of a route.
type RouteKind string

// Kinds of routes.
const (
	UnsafeRoute    RouteKind = "unsafe"
	SafeRoute      RouteKind = "safe"
	StreamingRoute RouteKind = "streaming" // may be resumed
)

// Route is a route of a configuration, for all requests to a host below a path.
type Route struct {
	Name, Host, Path string
	Kind             RouteKind
	Timeout          time.Duration
	Service          string
	MaxAttempts      int
}

// Document returns a configuration for one customer with one key.
func Document(version int, key, service string, routes ...Route) string {
	var list []map[string]any
	for _, r := range routes {
		list = append(list, map[string]any{
			"name": r.Name, "host": r.Host, "path-prefix": r.Path, "type": r.Kind, "timeout-ms": r.Timeout.Milliseconds(),
			"target-latency-ms": 1000, "service": r.Service, "max-attempts": r.MaxAttempts, "stream-resume": r.Kind == StreamingRoute,
		})
	}
	text, err := json.Marshal(map[string]any{
		"version": version, "routes": list,
		"services": []any{map[string]any{"name": service, "health-path": "/healthz", "max-connections": 100}},
		"limits":   map[string]int{"max-body-bytes": 65536, "idle-timeout-ms": 15000},
		"tenants":  []any{map[string]any{"name": "acme", "api-keys": []string{key}}},
	})
	if err != nil {
		panic(err) // strings and numbers can always be encoded
	}
	return string(text)
}

// DocumentVersion returns the version of a configuration that was read back.
func DocumentVersion(text string) (int, error) {
	var head struct{ Version int }
	err := json.Unmarshal([]byte(text), &head)
	return head.Version, err
}

// Request is one of a caller.
type Request struct {
	Path, Host, ID, Key, Body string
	Deadline                  time.Duration
	MaxEvents                 int // most events of a stream
}

// WriteTo sends the request.
func (q Request) WriteTo(w io.Writer) (int64, error) {
	n, err := fmt.Fprintf(w, "POST %s HTTP/1.1\r\nHost: %s\r\nAttempt-Id: %s\r\nKey: %s\r\nDeadline-Ms: %d\r\nToken-Usage: 10,%d\r\nContent-Length: %d\r\n\r\n%s",
		q.Path, q.Host, q.ID, q.Key, q.Deadline.Milliseconds(), q.MaxEvents, len(q.Body), q.Body)
	return int64(n), err
}

// AnswerHead is what the head of an answer says beside its status.
type AnswerHead struct {
	// Signature is that of the backend server; empty for an answer of the
	// system's own.
	Signature string
	// ID is that of the request.
	ID string
	// HasRetryAfter tells that a refusal says when to come back.
	HasRetryAfter bool
}

// ParseAnswerHead reads the head of an answer.
func ParseAnswerHead(h http.Header) AnswerHead {
	return AnswerHead{
		Signature: strings.TrimSpace(h.Get("Server-Signature")), ID: h.Get("Attempt-Id"),
		HasRetryAfter: h.Get("Retry-After") != "",
	}
}
