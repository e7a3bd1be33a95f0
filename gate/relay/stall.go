package relay

import (
	"errors"

	"citronledge.example/gate/conn"
)

var errStalled = errors.New("the stream stalled")

// watchStall returns what ends an attempt whose stream stalls, if another server may go
// on with it and the retry budget pays for that; nil if no other attempt may follow.
// Otherwise the silence is borne: a server may pause a sound stream, and its caller would
// get nothing instead.
func (x *attempt) watchStall(a *conn.Answer) *conn.Silence {
	if x.runsLeft() == 0 {
		return nil
	}
	x.stallTimeout = x.r.stallTimeout(x.route, x.model, x.assignment.Load)
	return a.WatchSilence(x.stallTimeout, x.payForOtherServer, x.abandon)
}
