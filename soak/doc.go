// Package soak runs the real programs as separate processes on loopback
// addresses, injects faults from outside them and checks, from what callers,
// operators and backend servers see, that the promises of the platform hold.
//
// A run is drawn from a seed. First come only planned events: stops, restarts,
// reloads, new configurations, backend servers that leave; no request may be
// lost then. Then faults come too, in overlapping series; what was acknowledged
// must last, and nothing may run twice, be mixed up or be refused untruly. At
// the end all faults are over and the system must recover in time.
package soak
