package wire

import "google.golang.org/protobuf/proto"

// Fill completes a report that leaves out what is the same as in the last one
// of its stream.
func (x *Load) Fill(last *Load) {
	if !x.GetSame() {
		return
	}
	x.Same = false
	x.Backend, x.Zone, x.Service = last.GetBackend(), last.GetZone(), last.GetService()
	x.Served, x.Prefixes = last.GetServed(), last.GetPrefixes()
	x.Slots, x.Fencing = last.GetSlots(), last.GetFencing()
}

// Short returns the report for a receiver that has the last one.
func (x *Load) Short(last *Load) *Load {
	short := &Load{
		Running: x.GetRunning(), Queued: x.GetQueued(), Leaving: x.GetLeaving(), Healthy: x.GetHealthy(), Age: x.GetAge(), Same: true,
	}
	full := proto.CloneOf(short)
	full.Fill(last)
	if last == nil || !proto.Equal(full, x) {
		return x
	}
	return short
}
