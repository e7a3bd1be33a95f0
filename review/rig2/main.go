// Command rig plays the cases of the second review: it starts the programs of the
// repository as processes on loopback addresses, with stand-ins for the
// infrastructure, the runners, the operator and the clients, and checks one rule.
//
// It exits with 1 if the rule was broken, 0 if it held, and 2 if the case could
// not run. With TROUBLE=0 in its environment it leaves the disruption out.
package main

import (
	"fmt"
	"os"
	"runtime"
	"time"
)

// exit codes.
const (
	held   = 0
	broken = 1
	failed = 2
)

// maxTime ends a case that takes too long.
const maxTime = 110 * time.Second

// cases are the cases by name. Each returns whether the rule was broken.
var cases = map[string]func(s *site, trouble bool) (bool, error){
	"refused":  playRefused,
	"repeated": playRepeated,
	"listed":   playListed,
	"first":    playFirst,
	"cut":      playCut,
}

func main() {
	// Processes end with the thread that has started them.
	runtime.LockOSThread()
	os.Exit(run())
}

func run() int {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: rig CASE RECORD, in the root of the repository")
		return failed
	}
	rec, err := newRecord(os.Args[2])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return failed
	}
	root, err := os.Getwd()
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return failed
	}
	trouble := os.Getenv("TROUBLE") != "0"
	rec.say("case %s, disruption %v", os.Args[1], trouble)
	s, err := newSite(rec, root)
	if err != nil {
		rec.say("the case could not run: %v", err)
		return failed
	}
	defer s.close()
	type result struct {
		broken bool
		err    error
	}
	// The watchdog ends this process, and the others with it.
	time.AfterFunc(maxTime, func() {
		rec.say("the case took too long")
		os.Exit(failed)
	})
	var r result
	r.broken, r.err = cases[os.Args[1]](s, trouble)
	switch {
	case r.err != nil:
		rec.say("the case could not run: %v", r.err)
		return failed
	case r.broken:
		rec.say("the rule was BROKEN")
		return broken
	}
	rec.say("the rule held")
	return held
}
