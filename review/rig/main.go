// Command rig plays one case of the review with the real programs, on loopback
// addresses, against stand-ins for clients, servers and the infrastructure.
//
// Usage: rig CASE ROOT RECORD, with TROUBLE=0 in the environment to leave out
// the disruption. It exits with 1 if the rule was broken, 0 if it held and 2 if
// the case could not run.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"
)

// root is the folder of the repository.
var root string

// verdict is the outcome of a case.
type verdict struct {
	broken bool
	why    string
}

var cases = map[string]func(s *site, trouble bool) (verdict, error){
	"twice": playTwice,
	"lost":  playLost,
	"stale": playStale,
	"order": playOrder,
}

func main() { os.Exit(run()) }

func run() int {
	if len(os.Args) != 4 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: rig CASE ROOT RECORD")
		return 2
	}
	root = os.Args[2]
	rec, err := newRecord(os.Args[3])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	s, err := newSite(rec)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	defer s.close()
	type result struct {
		v   verdict
		err error
	}
	done := make(chan result, 1)
	go func() {
		v, err := cases[os.Args[1]](s, os.Getenv("TROUBLE") != "0")
		done <- result{v, err}
	}()
	stopped := make(chan os.Signal, 1)
	signal.Notify(stopped, syscall.SIGTERM, os.Interrupt)
	var r result
	select {
	case r = <-done:
	case <-stopped:
		r.err = fmt.Errorf("stopped by a signal")
	case <-time.After(115 * time.Second):
		r.err = fmt.Errorf("the case did not end in time")
	}
	switch {
	case r.err != nil:
		rec.printf("could not run: %v", r.err)
		fmt.Println("could not run:", r.err)
		return 2
	case r.v.broken:
		rec.printf("BROKEN: %s", r.v.why)
		fmt.Println("BROKEN:", r.v.why)
		return 1
	}
	rec.printf("held: %s", r.v.why)
	fmt.Println("held:", r.v.why)
	return 0
}

// config returns a configuration with the given routes.
func config(version int, routes ...map[string]any) map[string]any {
	return map[string]any{
		"version": version, "routes": routes,
		"services": []map[string]any{
			{
				"name": "huvo11a", "health-path": "/healthz", "max-connections": 650, "protocol": "h1", "tls": false,
				"engine": map[string]any{
					"slots": 128, "kv-capacity-tokens": 919280, "kv-bytes": 35136, "link-mbps": 550000.0, "migrations": true, "backups": true,
					"stride": 5, "most": 12, "pin-ms": 4000.0, "hold-ms": 2000.0, "session-ttl-s": 5.0,
					"models": []map[string]any{{"name": "daka510000", "cost": 0.017}, {"name": "rada7437b5", "cost": 0.13}, {"name": "ravo486f6a", "cost": 0.26}},
				},
			},
			{"name": "wuno96b", "health-path": "/healthz", "max-connections": 130, "protocol": "h1", "tls": false},
		},
		"limits": map[string]any{"max-header-bytes": 16384, "max-body-bytes": 4194304, "header-timeout-ms": 3000, "idle-timeout-ms": 15000},
	}
}

// streamRoute returns a streaming route like that of the pages' example.
func streamRoute(prefix string, resume bool, timeoutMS int, sizes bool) map[string]any {
	r := map[string]any{
		"name": "r-i6y7z5k", "host": host, "path-prefix": prefix, "type": "streaming", "timeout-ms": timeoutMS, "target-latency-ms": 3000,
		"priority": 1, "service": "huvo11a", "max-attempts": 3, "public": false, "session-affinity": true, "stream-resume": resume, "target-itl-ms": 1200,
	}
	if sizes {
		r["sizes"] = []string{"daka510000", "rada7437b5", "ravo486f6a"}
	}
	return r
}

// plainRoute returns a route of the application service.
func plainRoute(name, prefix, kind string) map[string]any {
	return map[string]any{
		"name": name, "host": host, "path-prefix": prefix, "type": kind, "timeout-ms": 1000, "target-latency-ms": 100,
		"priority": 2, "service": "wuno96b", "max-attempts": 2, "public": false, "session-affinity": false,
	}
}
