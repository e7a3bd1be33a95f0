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
	Name, IP string
	Seeds    []string // addresses of operators' interfaces
	// First is the first of the ten ports between our processes.
	First                     int
	Found                     bool
	Callers, Ready, Operators string // addresses to listen on
	Data                      string // folder on the disk
	List                      string // address of the list of backend servers
	Losses                    int    // disks that may be lost at the same time
	Stop, Drain               time.Duration
	RetryRatio, RetrySlack    float64
}

// Settings returns the settings file.
func (n Node) Settings() ([]byte, error) {
	file := map[string]any{
		"node-name": n.Name, "ip": n.IP, "zone": "a", "bootstrap": n.Found, "seed-nodes": n.Seeds,
		"listen":              map[string]string{"frontend": n.Callers, "readiness": n.Ready, "control-plane": n.Operators},
		"internal-port-range": []int{n.First, n.First + 9},
		"limits":              map[string]int{"memory-mb": 128}, "fault-tolerance": map[string]int{"machines": n.Losses},
		"bounds": map[string]any{
			"grace-period-s": n.Stop.Seconds(), "drain-timeout-ms": n.Drain.Milliseconds(), "retry-budget-ratio": n.RetryRatio,
			"retry-window-s": 10, "budget-slack": n.RetrySlack, "canary-share": 0.15, "session-s": 5,
		},
		"cloud-api": map[string]any{"address": n.List, "rate-per-s": 10},
	}
	if n.Data != "" {
		file["data-dir"] = n.Data
	}
	return json.Marshal(file)
}

// Entry is a backend server in the list.
type Entry struct {
	ID, Service, Address string
	Leaving              bool
}

// WriteList writes the list, in one page.
func WriteList(w io.Writer, entries []Entry) error {
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

// Kind of the requests of a route.
type Kind string

// Kinds of routes.
const (
	Once   Kind = "unsafe"
	Safe   Kind = "safe"
	Stream Kind = "streaming" // may be resumed
)

// Route is a route of a configuration, for all requests to a host below a path.
type Route struct {
	Name, Host, Path string
	Kind             Kind
	Timeout          time.Duration
	Service          string
	Attempts         int
}

// Document returns a configuration for one customer with one key.
func Document(version int, key, service string, routes ...Route) string {
	var list []map[string]any
	for _, r := range routes {
		list = append(list, map[string]any{
			"name": r.Name, "host": r.Host, "path-prefix": r.Path, "type": r.Kind, "timeout-ms": r.Timeout.Milliseconds(),
			"target-latency-ms": 1000, "service": r.Service, "max-attempts": r.Attempts, "stream-resume": r.Kind == Stream,
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

// Version returns the version of a configuration that was read back.
func Version(text string) (int, error) {
	var head struct{ Version int }
	err := json.Unmarshal([]byte(text), &head)
	return head.Version, err
}

// Request is one of a caller.
type Request struct {
	Path, Host, ID, Key, Content string
	Deadline                     time.Duration
	Output                       int // most events of a stream
}

// WriteTo sends the request.
func (q Request) WriteTo(w io.Writer) (int64, error) {
	n, err := fmt.Fprintf(w, "POST %s HTTP/1.1\r\nHost: %s\r\nAttempt-Id: %s\r\nKey: %s\r\nDeadline-Ms: %d\r\nToken-Usage: 10,%d\r\nContent-Length: %d\r\n\r\n%s",
		q.Path, q.Host, q.ID, q.Key, q.Deadline.Milliseconds(), q.Output, len(q.Content), q.Content)
	return int64(n), err
}

// Answer is what the head of an answer says beside its status.
type Answer struct {
	// Signature is that of the backend server; empty for an answer of the
	// system's own.
	Signature string
	// ID is that of the request.
	ID string
	// ComeBack tells that a refusal says when to come back.
	ComeBack bool
}

// ParseAnswer reads the head of an answer.
func ParseAnswer(h http.Header) Answer {
	return Answer{
		Signature: strings.TrimSpace(h.Get("Server-Signature")), ID: h.Get("Attempt-Id"),
		ComeBack: h.Get("Retry-After") != "",
	}
}
