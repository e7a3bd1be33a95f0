// Package bubble runs tests that use link sessions under synctest.
package bubble

import (
	"runtime"
	"testing"
	"testing/synctest"
)

// Test is synctest.Test for code that uses yamux. yamux keeps timers in a
// global sync.Pool, and a timer that was created in an earlier bubble crashes
// the program with "select on synctest channel from outside bubble". Two
// garbage collections empty the pool. Tests that call Test must not run in
// parallel.
func Test(t *testing.T, f func(t *testing.T)) {
	t.Helper()
	runtime.GC()
	runtime.GC()
	synctest.Test(t, f)
}
