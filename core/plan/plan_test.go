package plan

import (
	"strings"
	"testing"
	"time"

	"citronledge.example/core/ident"
)

func route(name, host, path string) Route {
	return Route{Name: ident.Route(name), Host: host, PathPrefix: path, Type: RouteSafe, Timeout: time.Second, Splits: []Split{{"s", 1}}}
}

func TestIndex(t *testing.T) {
	for name, test := range map[string]struct {
		change  func(*Config)
		wantErr string
	}{
		"valid":              {func(*Config) {}, ""},
		"unknown service":    {func(cfg *Config) { cfg.Routes[0].Splits[0].Service = "x" }, "unknown service"},
		"same host and path": {func(cfg *Config) { cfg.Routes[1].PathPrefix = "/" }, "share host"},
		"no weight":          {func(cfg *Config) { cfg.Routes[0].Splits[0].Weight = 0 }, "add up to 0"},
		"negative weight":    {func(cfg *Config) { cfg.Routes[0].Splits = []Split{{"s", 2}, {"s", -1}} }, "below 0"},
		"no timeout":         {func(cfg *Config) { cfg.Routes[0].Timeout = 0 }, "timeout"},
		"no type":            {func(cfg *Config) { cfg.Routes[0].Type = 0 }, "type"},
		"no final slash":     {func(cfg *Config) { cfg.Routes[0].PathPrefix = "/a" }, "slash"},
		"shared key":         {func(cfg *Config) { cfg.Customers[1].Keys = []string{"k"} }, "share a key"},
	} {
		t.Run(name, func(t *testing.T) {
			cfg := &Config{
				Routes:    []Route{route("a", "h", "/"), route("b", "h", "/b/")},
				Services:  map[ident.Service]Service{"s": {Name: "s"}},
				Customers: []Customer{{Name: "one", Keys: []string{"k"}}, {Name: "two", Keys: []string{"l"}}},
			}
			test.change(cfg)
			err := cfg.Index()
			if (err == nil) != (test.wantErr == "") || err != nil && !strings.Contains(err.Error(), test.wantErr) {
				t.Errorf("got %v, want an error with %q", err, test.wantErr)
			}
		})
	}
}

func TestMatch(t *testing.T) {
	cfg := &Config{
		Routes:   []Route{route("root", "h", "/"), route("a", "h", "/a/"), route("deep", "h", "/a/b/"), route("other", "i", "/a/")},
		Services: map[ident.Service]Service{"s": {Name: "s"}},
	}
	if err := cfg.Index(); err != nil {
		t.Fatal(err)
	}
	for target, want := range map[string]ident.Route{
		"h/": "root", "h/x": "root", "h/a": "root", "h/a/": "a", "h/a/x": "a", "h/a/b/c": "deep", "h/a/bc": "a", "i/a/b/": "other", "i/b": "", "j/": "",
	} {
		host, path, _ := strings.Cut(target, "/")
		got := ident.Route("")
		if r := cfg.Match(host, "/"+path); r != nil {
			got = r.Name
		}
		if got != want {
			t.Errorf("%s: got %q, want %q", target, got, want)
		}
	}
}

func TestPick(t *testing.T) {
	r := Route{Splits: []Split{{"a", 90}, {"none", 0}, {"b", 10}}}
	count := map[ident.Service]int{}
	for i := range uint64(1000) {
		count[r.PickService(i)]++
	}
	if count["a"] != 900 || count["b"] != 100 || count["none"] != 0 {
		t.Errorf("got %v, want 900 a and 100 b", count)
	}
}
