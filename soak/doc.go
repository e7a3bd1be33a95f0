// Package soak runs the real programs as separate processes on loopback
// addresses, injects faults from outside and checks, by what callers, operators
// and backend servers observe, that the platform keeps its promises.
//
// The events of a run are drawn from a seed. The first phase has only planned
// events: stops, restarts, reloads, new configurations, leaving backend servers;
// no request may be lost. The second phase adds faults, in overlapping series:
// acknowledged configurations must not be lost, no request that must not be
// repeated may run twice, no answer may reach the wrong caller, and no request
// that is refused as not run may have run. Then all faults end, and the system
// must recover in time.
package soak
