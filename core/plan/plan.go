// Package plan is the configuration that an operator replaces as a whole:
// routes to services, the services, their customers and the limits on callers.
// A Config must not be changed after Index.
package plan

import (
	"slices"
	"strings"
	"time"

	"github.com/rotisserie/eris"

	"citronledge.example/core/ident"
)

// RouteType says how often a request of a route may run.
type RouteType uint8

// Types of routes.
const (
	// RouteSafe: a request may run more than once.
	RouteSafe RouteType = iota + 1
	// RouteOnce: at most one run for each attempt of a caller.
	RouteOnce
	// RouteStream: an event stream, at most one run unless Route.Resumable is set.
	RouteStream
)

// String returns the name used in logs and metrics.
func (t RouteType) String() string {
	switch t {
	case RouteSafe:
		return "safe"
	case RouteOnce:
		return "once"
	case RouteStream:
		return "stream"
	}
	return "unknown"
}

// Route directs requests of a host and path prefix to services.
type Route struct {
	Name ident.Route
	Host string
	// PathPrefix begins and ends with a slash.
	PathPrefix string
	Type       RouteType
	// Timeout is the longest time that a caller is kept waiting.
	Timeout time.Duration
	// TargetLatency is the latency within which an answer has its full value; for
	// streams it applies to the first event.
	TargetLatency time.Duration
	// MaxEventGap is the longest pause between two events; 0 if not given.
	MaxEventGap time.Duration
	// Priority is 0 for the most urgent.
	Priority int
	// Models are the models that may answer, from small to large. If there are
	// any, the router chooses the model.
	Models []ident.Model
	// Splits divide the traffic by weight.
	Splits []Split
	// MaxRuns is the largest number of runs for one attempt of a caller.
	MaxRuns int
	// Public routes need no key.
	Public bool
	// PrefixAffinity is set if requests share parts of prompts.
	PrefixAffinity bool
	// Resumable is set if a stream may go on at another backend server.
	Resumable bool
}

// Repeatable reports whether a request may run again after a run of unknown
// outcome.
func (r *Route) Repeatable() bool { return r.Type == RouteSafe || r.Type == RouteStream && r.Resumable }

// Split is a share of a route's traffic.
type Split struct {
	Service ident.Service
	Weight  int
}

// Service is a group of backend servers that serve the same requests.
type Service struct {
	Name ident.Service
	// HealthPath is the path of its health page.
	HealthPath string
	// MaxConnections bounds the connections to one backend server from all
	// callers together.
	MaxConnections int
	// Engine is set if the backend servers are model runners.
	Engine *Engine
	Cold   Cold
}

// Cold says what backend servers sustain for a time after their start.
type Cold struct {
	// Duration is how long a backend server is cold after its start.
	Duration time.Duration
	// Rate is the number of requests per second that it sustains while it is
	// cold, from all gates together; 0 means no limit.
	Rate ident.Rate
}

// Engine describes the model runners of a service.
type Engine struct {
	// Slots is the number of requests in one batch.
	Slots int
	// KVCapacity is the number of tokens that running requests and cached parts
	// of prompts share.
	KVCapacity ident.Tokens
	// CostPer1000Tokens is the price of 1,000 generated tokens of each model.
	CostPer1000Tokens map[ident.Model]float64
}

// CheapestModel returns the model with the lowest cost, and that cost; "" and 0
// if none is known.
func (e *Engine) CheapestModel() (model ident.Model, cost float64) {
	for m, c := range e.CostPer1000Tokens {
		if cost == 0 || c < cost || c == cost && m < model {
			model, cost = m, c
		}
	}
	return model, cost
}

// Customer holds the keys of a tenant.
type Customer struct {
	Name ident.Customer
	Keys []string
	// Priority takes precedence over that of the route unless it is nil.
	Priority *int
}

// Limits bounds what callers may send; zero means no limit.
type Limits struct {
	MaxHeaderBytes, MaxBodyBytes int
	HeaderTimeout                time.Duration
	// IdleTimeout is how long a connection may stay without a request.
	IdleTimeout time.Duration
}

// Config is one version of the configuration. Index must be called before its
// lookups.
type Config struct {
	Version   uint64
	Routes    []Route
	Services  map[ident.Service]Service
	Customers []Customer
	Limits    Limits

	routesByHost   map[string][]*Route // longest path prefix first
	customersByKey map[string]*Customer
}

// Index checks the configuration and prepares its lookups. The message of an
// error says what to change.
func (cfg *Config) Index() error {
	cfg.routesByHost, cfg.customersByKey = map[string][]*Route{}, map[string]*Customer{}
	for i := range cfg.Routes {
		r := &cfg.Routes[i]
		if err := cfg.checkRoute(r); err != nil {
			return err
		}
		for _, other := range cfg.routesByHost[r.Host] {
			if other.PathPrefix == r.PathPrefix {
				return eris.Errorf("routes %s and %s share host %s and path %s; remove one", other.Name, r.Name, r.Host, r.PathPrefix)
			}
		}
		cfg.routesByHost[r.Host] = append(cfg.routesByHost[r.Host], r)
	}
	for _, routes := range cfg.routesByHost {
		slices.SortFunc(routes, func(a, b *Route) int { return len(b.PathPrefix) - len(a.PathPrefix) })
	}
	for i := range cfg.Customers {
		c := &cfg.Customers[i]
		for _, key := range c.Keys {
			if other := cfg.customersByKey[key]; other != nil && other.Name != c.Name {
				return eris.Errorf("customers %s and %s share a key; give each its own", other.Name, c.Name)
			}
			cfg.customersByKey[key] = c
		}
	}
	return nil
}

func (cfg *Config) checkRoute(r *Route) error {
	switch {
	case !strings.HasPrefix(r.PathPrefix, "/") || !strings.HasSuffix(r.PathPrefix, "/"):
		return eris.Errorf("route %s: path %q must begin and end with a slash", r.Name, r.PathPrefix)
	case r.Timeout <= 0:
		return eris.Errorf("route %s: the timeout must be above 0", r.Name)
	case r.Type == 0:
		return eris.Errorf("route %s has no known type", r.Name)
	}
	total := 0
	for _, s := range r.Splits {
		if _, ok := cfg.Services[s.Service]; !ok {
			return eris.Errorf("route %s names the unknown service %q; add the service", r.Name, s.Service)
		}
		if s.Weight < 0 {
			return eris.Errorf("route %s: the weight of %s is below 0", r.Name, s.Service)
		}
		total += s.Weight
	}
	if total == 0 {
		return eris.Errorf("route %s: its weights add up to 0; give a service a weight", r.Name)
	}
	return nil
}

// Match returns the route of a host with the longest prefix of the path, or nil.
func (cfg *Config) Match(host, path string) *Route {
	for _, r := range cfg.routesByHost[host] {
		if strings.HasPrefix(path, r.PathPrefix) {
			return r
		}
	}
	return nil
}

// RequiresKey reports whether requests need a key.
func (cfg *Config) RequiresKey() bool { return len(cfg.Customers) > 0 }

// CustomerByKey returns the customer of a key, or nil.
func (cfg *Config) CustomerByKey(key string) *Customer { return cfg.customersByKey[key] }

// PickService returns the service for a number drawn uniformly from all uint64
// values.
func (r *Route) PickService(draw uint64) ident.Service {
	total := 0
	for _, s := range r.Splits {
		total += s.Weight
	}
	rest := int(draw % uint64(total))
	for _, s := range r.Splits {
		if rest -= s.Weight; rest < 0 {
			return s.Service
		}
	}
	return r.Splits[0].Service
}
