package wire

import "google.golang.org/protobuf/proto"

// Fill completes a report that omits the fields that are unchanged since the
// last report of its stream.
func (x *Load) Fill(last *Load) {
	if !x.GetSame() {
		return
	}
	x.Same = false
	x.Backend, x.Zone, x.Service = last.GetBackend(), last.GetZone(), last.GetService()
	x.Served, x.Prefixes = last.GetServed(), last.GetPrefixes()
	x.Slots, x.Fencing = last.GetSlots(), last.GetFencing()
}

// Short returns a report for a receiver that has the last one. It omits the
// rarely changing fields if they are unchanged.
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
