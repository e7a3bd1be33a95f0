// Package crash decides whether the process of a backend server has ended while it
// had a request. Whoever reads an answer reports how it ended, whatever had come of
// it; what the server does with a new connection tells a process that has ended from
// a server that breaks off its answers.
package crash

import (
	"context"
	"errors"
	"io"
	"syscall"
	"time"
)

// Progress is how far an answer had come.
type Progress uint8

const (
	// None means that nothing of the answer had come.
	None Progress = iota
	// Head means that the head of a stream had come, and no event.
	Head
	// Part means that an event of a stream had come, or any part of another answer.
	Part
)

// End is the end of a connection before the end of the answer.
type End struct {
	Progress Progress
	// Ran is the time from sending the request to the end.
	Ran time.Duration
	// Answering is the time since the first part of the answer.
	Answering time.Duration
	// Reused is set if the connection had carried a request before.
	Reused bool
}

// Verdict is what an end says of the server's process.
type Verdict uint8

const (
	// Alive means that the process has not ended.
	Alive Verdict = iota
	// Crashed means that the process has ended.
	Crashed
	// Unclear means that a later probe may show whether the process has ended.
	Unclear
)

const (
	// minRunTime is the time from which the end of a connection without an answer
	// shows that the request had begun to run. A server that has too many connections
	// or closes an idle one ends it as soon as the request arrives.
	minRunTime = 20 * time.Millisecond
	// startOfAnswer is the time for which an answer counts as just begun.
	startOfAnswer = time.Second
)

// confirmPauses are the pauses before a server is probed again: its process may just
// be ending, or have too many connections.
var confirmPauses = []time.Duration{30 * time.Millisecond, 120 * time.Millisecond}

// IsServerEnd reports whether a read failed because the server ended the connection.
func IsServerEnd(err error) bool {
	return errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) || errors.Is(err, syscall.ECONNRESET) || errors.Is(err, syscall.EPIPE)
}

// Judge returns what the end and a probe after it say. Before a part of the answer
// has come, the end itself is evidence: another process may listen already for the
// one that has ended. A server that breaks off an answer in the middle and goes on
// listening has not crashed.
func (e End) Judge(p Probe) Verdict {
	switch {
	case p == Refused:
		return Crashed
	case e.Progress == Head:
		return Crashed
	case e.Progress == Part && p == Open:
		return Alive
	case e.Progress == None && p != Ended && (e.Ran >= minRunTime || !e.Reused):
		return Crashed
	}
	return Unclear
}

// MayBeBystander reports whether others that the server had look as suspect as this
// request: it may have waited beside the one that is to blame, or been answered for
// some time.
func (e End) MayBeBystander() bool {
	return e.Progress == None || e.Progress == Part && e.Answering > startOfAnswer
}

// Prober probes the server.
type Prober func(ctx context.Context) Probe

// Watch probes the server and returns the verdict and the result of the probe. If the
// verdict is unclear, it probes again later, and calls found if the process has ended
// then.
func (e End) Watch(ctx context.Context, probe Prober, found func()) (Verdict, Probe) {
	p := probe(ctx)
	v := e.Judge(p)
	if v == Unclear {
		go func() {
			if isConfirmed(context.Background(), probe) {
				found()
			}
		}()
	}
	return v, p
}

// HasCrashed probes the server and reports whether its process has ended. As long as
// that is unclear, it waits.
func (e End) HasCrashed(ctx context.Context, probe Prober) bool {
	v := e.Judge(probe(ctx))
	return v == Crashed || v == Unclear && isConfirmed(ctx, probe)
}

// HasEnded reports whether a server's process has ended, after a read in the middle of
// its answer failed with err.
func HasEnded(ctx context.Context, err error, dial Dialer) bool {
	if ctx.Err() != nil || !IsServerEnd(err) {
		return false
	}
	return End{Progress: Part}.HasCrashed(ctx, func(ctx context.Context) Probe { return Dial(ctx, dial) })
}

// isConfirmed probes the server again for a while, and reports whether its process
// has ended.
func isConfirmed(ctx context.Context, probe Prober) bool {
	for _, pause := range confirmPauses {
		select {
		case <-time.After(pause):
		case <-ctx.Done():
			return false
		}
		if probe(ctx) == Refused {
			return true
		}
	}
	return false
}
