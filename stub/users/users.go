// Package users is a stand-in for the users' platform around the processes of the
// system: the settings file that it gives them, its list of backend servers, and
// the requests of its callers, operators and load balancer. Package runner is the
// stand-in for backend servers.
package users

import (
	"cmp"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strings"
	"time"
)

// Paths of the calls that our processes serve.
const (
	ReadyPath   = "/api/readyz"
	ReplacePath = "/api/configuration/replace"
	ReadPath    = "/api/configuration/read"
)

// BeginEvacuationPath returns the path of the call that begins the evacuation of a
// zone.
func BeginEvacuationPath(zone string) string { return "/api/evacuations/" + zone + "/begin" }

// FinishEvacuationPath returns the path of the call that ends the evacuation of a
// zone.
func FinishEvacuationPath(zone string) string { return "/api/evacuations/" + zone + "/finish" }

// Node holds the platform's settings for one process. Addresses of interfaces
// that the process does not serve are empty, and an empty data folder is left out
// of the settings file.
type Node struct {
	Name, IP  string
	SeedAddrs []string // addresses of operator APIs
	// FirstInternalPort is the first of the ten ports for connections between our
	// processes.
	FirstInternalPort                       int
	Bootstrap                               bool
	CallerAddr, ReadinessAddr, OperatorAddr string // addresses to listen on
	DataDir                                 string // on the VM's disk; empty without one
	BackendListAddr                         string // serves the list of backend servers
	MaxLostVMs                              int    // VMs with a disk that may be lost at the same time
	StopTimeout, DrainTimeout               time.Duration
	RetryBudgetRatio, RetryBudgetSlack      float64
	// MemoryMB is the memory limit of the process, and MaxFiles that of its open
	// descriptors; 0 means 128 MB and 1024 descriptors.
	MemoryMB, MaxFiles int
}

// SettingsFile returns the settings file in JSON.
func (n Node) SettingsFile() ([]byte, error) {
	file := map[string]any{
		"node-name": n.Name, "ip": n.IP, "zone": "a", "bootstrap": n.Bootstrap, "seed-nodes": n.SeedAddrs,
		"listen":              map[string]string{"frontend": n.CallerAddr, "readiness": n.ReadinessAddr, "control-plane": n.OperatorAddr},
		"internal-port-range": []int{n.FirstInternalPort, n.FirstInternalPort + 9},
		"limits":              map[string]int{"memory-mb": cmp.Or(n.MemoryMB, 128), "max-fds": cmp.Or(n.MaxFiles, 1024)}, "fault-tolerance": map[string]int{"machines": n.MaxLostVMs},
		"bounds": map[string]any{
			"grace-period-s": n.StopTimeout.Seconds(), "drain-timeout-ms": n.DrainTimeout.Milliseconds(), "retry-budget-ratio": n.RetryBudgetRatio,
			"retry-window-s": 10, "budget-slack": n.RetryBudgetSlack, "canary-share": 0.15, "session-s": 5, "recovery-s": 12,
		},
		"cloud-api": map[string]any{"address": n.BackendListAddr, "rate-per-s": 10},
	}
	if n.DataDir != "" {
		file["data-dir"] = n.DataDir
	}
	return json.Marshal(file)
}

// ListedBackend is a backend server in the platform's list.
type ListedBackend struct {
	ID, Service, Address, Zone string
	Leaving                    bool
}

// WriteList writes the list of backend servers as a single page.
func WriteList(w io.Writer, entries []ListedBackend) error {
	list := []map[string]any{}
	for _, e := range entries {
		state := "ready"
		if e.Leaving {
			state = "draining"
		}
		list = append(list, map[string]any{
			"id": e.ID, "service": e.Service, "address": e.Address, "zone": e.Zone, "version": "v1",
			"slots": 16, "state": state, "cold-remaining-ms": 0,
		})
	}
	return json.NewEncoder(w).Encode(map[string]any{"instances": list, "next": nil})
}

// RouteKind is the type of a route in the configuration.
type RouteKind string

// Types of routes.
const (
	UnsafeRoute    RouteKind = "unsafe"
	SafeRoute      RouteKind = "safe"
	StreamingRoute RouteKind = "streaming" // may be resumed
)

// Route is a route of a configuration, for all requests to a host under a path
// prefix.
type Route struct {
	Name, Host, Path string
	Kind             RouteKind
	Timeout          time.Duration
	Service          string
	MaxAttempts      int
}

// Document returns a configuration for one customer with one API key, in JSON.
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

// DocumentVersion returns the version of a configuration document.
func DocumentVersion(text string) (int, error) {
	var head struct{ Version int }
	err := json.Unmarshal([]byte(text), &head)
	return head.Version, err
}

// Request is a request of a caller.
type Request struct {
	Path, Host, ID, Key, Body string
	Deadline                  time.Duration
	MaxEvents                 int // of a stream, announced in Token-Usage
}

// WriteTo implements io.WriterTo: it writes the request as HTTP/1.1.
func (q Request) WriteTo(w io.Writer) (int64, error) {
	n, err := fmt.Fprintf(w, "POST %s HTTP/1.1\r\nHost: %s\r\nAttempt-Id: %s\r\nKey: %s\r\nDeadline-Ms: %d\r\nToken-Usage: 10,%d\r\nContent-Length: %d\r\n\r\n%s",
		q.Path, q.Host, q.ID, q.Key, q.Deadline.Milliseconds(), q.MaxEvents, len(q.Body), q.Body)
	return int64(n), err
}

// AnswerHead holds the headers of an answer that callers check.
type AnswerHead struct {
	// Signature is the signature of the backend server; empty for an answer by
	// the system itself.
	Signature string
	// ID is the id of the request.
	ID string
	// HasRetryAfter tells that a refusal says when to retry.
	HasRetryAfter bool
}

// ParseAnswerHead returns the headers of an answer that callers check.
func ParseAnswerHead(h http.Header) AnswerHead {
	return AnswerHead{
		Signature: strings.TrimSpace(h.Get("Server-Signature")), ID: h.Get("Attempt-Id"),
		HasRetryAfter: h.Get("Retry-After") != "",
	}
}
