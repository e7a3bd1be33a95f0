package relay

import (
	"errors"
	"sync/atomic"
	"time"
)

var errStalled = errors.New("the stream stalled")

// stallWatch ends an attempt whose stream stalls, if another server may go on with
// it and the retry budget pays for that. Otherwise the silence is borne: a server
// may pause a sound stream, and its caller would get nothing instead.
type stallWatch struct {
	limit   time.Duration
	timer   *time.Timer // nil if no other attempt may follow
	stalled atomic.Bool // the attempt was ended, and the next one is paid
}

// watchStall starts the watch of a stream.
func (x *attempt) watchStall() *stallWatch {
	w := &stallWatch{}
	if x.runsLeft() == 0 {
		return w
	}
	w.limit = x.r.stallTimeout(x.route, x.model, x.assignment.Load)
	w.timer = time.AfterFunc(w.limit, func() {
		if w.stalled.Load() || !x.payForOtherServer() {
			return
		}
		w.stalled.Store(true)
		x.abandon() // ends the read of the stream
	})
	return w
}

// progress records whole events.
func (w *stallWatch) progress() {
	if w.timer != nil && !w.stalled.Load() {
		w.timer.Reset(w.limit)
	}
}

func (w *stallWatch) stop() {
	if w.timer != nil {
		w.timer.Stop()
	}
}
