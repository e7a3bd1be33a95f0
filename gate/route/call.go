package route

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"io"
	"strings"
	"sync"
	"time"

	"citronledge.example/core/conf"
	"citronledge.example/core/fault"
	"citronledge.example/core/ident"
	"citronledge.example/core/wire"
	"citronledge.example/gate/pool"
)

// abortTimeout bounds the proposal of an abort. It may run past the deadline of
// the request, because only a committed abort allows the refusal "not run".
const abortTimeout = 3 * time.Second

func (x *execution) call(ctx context.Context) error {
	view := x.r.state.View()
	route, ok := view.Routes[x.req.Route]
	if !ok {
		return fault.New(fault.Missing, "route "+string(x.req.Route)+" does not exist any more; ask the operators")
	}
	return x.callRepeatable(ctx, pool.Requirements{Service: route.Service, Kind: ident.Call})
}

// callRepeatable runs a call that may be repeated. It buffers a short answer, so
// that the call can be retried; a longer one is written as it arrives.
func (x *execution) callRepeatable(ctx context.Context, need pool.Requirements) error {
	var avoid ident.Backend
	start := time.Now()
	for {
		spec := attemptSpec{need: need, avoid: avoid}
		res := x.tryWithHedge(ctx, spec, func(claim func() bool) replySink { return &bufferedSink{x: x, claim: claim} })
		if res.err == nil {
			x.r.adaptive.observeLatency(x.req.Kind, x.latencyKey(spec), time.Since(start))
			sink, _ := res.sink.(*bufferedSink)
			x.commitBill(ctx)
			return sink.flush()
		}
		if x.headWritten {
			x.incomplete = true
			return ErrTruncated
		}
		if !x.shouldRetry(ctx, res) {
			return res.err
		}
		avoid = res.backend
	}
}

// maxBufferedBytes bounds the part of an answer that is buffered before it is
// written to the caller.
const maxBufferedBytes = 256 << 10

// bufferedSink buffers the start of an answer and writes the rest one chunk
// behind, so that the bill is committed before the last chunk is written.
type bufferedSink struct {
	answer

	x     *execution
	claim func() bool
}

// Chunk implements pool.ReplySink.
func (s *bufferedSink) Chunk(data []byte) error {
	if len(s.body) > 0 && len(s.body)+len(data) > maxBufferedBytes {
		if !s.claim() {
			return errRaceLost
		}
		if err := s.flush(); err != nil {
			return err
		}
	}
	return s.answer.Chunk(data)
}

// An error status of a service is its answer, not a failed attempt.
func (s *bufferedSink) checkReply() error { return nil }

// operationSink collects the answer of an operation. An error status is an
// answer, as for any call.
type operationSink struct{ answer }

func (s *operationSink) checkReply() error { return nil }

func (s *bufferedSink) flush() error {
	if !s.x.headWritten {
		s.x.headWritten = true
		if err := s.x.caller.Head(int(s.head.GetStatus()), s.head.GetHeaders()); err != nil {
			return context.Canceled // the caller disconnected
		}
	}
	body := s.body
	s.body = nil
	if len(body) == 0 {
		return nil
	}
	return s.x.writeBody(body)
}

// callAtMostOnce runs a call that may run at most once. It begins the operation
// in the state cluster before admission: a call that ran before is answered
// without a slot, and a refusal for lack of a slot says "not run" only after the
// abort is committed.
func (x *execution) callAtMostOnce(ctx context.Context) error {
	route, ok := x.r.state.View().Routes[x.req.Route]
	if !ok {
		return fault.New(fault.Missing, "route "+string(x.req.Route)+" does not exist any more; ask the operators")
	}
	begin, err := x.newBegin(route)
	if err != nil {
		return &Failure{Fault: fault.From(err)}
	}
	res, err := x.propose(ctx, &wire.Command{Kind: &wire.Command_Begin{Begin: begin}})
	if res == nil {
		return &Failure{Fault: fault.New(fault.Unknown, "the state cluster did not confirm the call; send it again with the same idempotency key"), MayHaveRun: true}
	}
	x.keyResolved = true
	op := res.GetOperation()
	if !op.GetGranted() {
		return x.answerUngranted(ctx, begin, op, err)
	}
	// The operation continues when its caller disconnects; the caller gets the
	// answer when it sends the key again.
	limited, cancel := context.WithDeadline(context.WithoutCancel(ctx), x.deadline)
	defer cancel()
	release, err := x.admit(limited)
	if err != nil {
		return x.abortOperation(limited, op, err)
	}
	release = sync.OnceFunc(release)
	defer release()
	done, err := x.sendOperation(limited, pool.Requirements{Service: route.Service, Kind: ident.Call}, op)
	if done {
		return err
	}
	release() // looking up the outcome needs no slot of the service
	return x.abortOperation(limited, op, err)
}

// sendOperation tries side processes until one has accepted the operation. It
// reports whether the operation is done; if not, err is the cause.
func (x *execution) sendOperation(ctx context.Context, need pool.Requirements, op *wire.Operation) (done bool, err error) {
	var avoid ident.Backend
	for {
		sink := &operationSink{}
		out, id, err := x.attempt(ctx, attemptSpec{need: need, avoid: avoid, operation: op.GetId(), fence: op.GetFence()}, sink)
		if err == nil && out.MayHaveRun {
			x.commitBill(ctx)
			return true, x.writeReply(sink.head.GetStatus(), sink.head.GetHeaders(), sink.body)
		}
		if out.MayHaveRun || !x.shouldRetry(ctx, attemptResult{out: out, backend: id, err: err}) {
			return false, err
		}
		avoid = id
	}
}

// abortOperation aborts an operation whose attempt failed. Only the committed
// abort proves that the service was not called and never will be with this fence.
func (x *execution) abortOperation(requestCtx context.Context, op *wire.Operation, cause error) error {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(requestCtx), abortTimeout)
	defer cancel()
	res, _ := x.propose(ctx, &wire.Command{Kind: &wire.Command_Abort{Abort: &wire.Abort{
		Operation: op.GetId(), Fence: op.GetFence(),
	}}})
	current := res.GetOperation()
	if current.GetPhase() == unknownPhase && current.GetFence() == op.GetFence() {
		current = x.lookupOutcome(requestCtx, current)
	}
	switch {
	case current.GetPhase() == "aborted" && current.GetFence() == op.GetFence():
		x.record.addNote("aborted")
		f := fault.From(cause)
		if f == nil || !f.Kind.GuaranteesNotRun() {
			f = notRunFault()
		}
		return &Failure{Fault: f}
	case current.GetPhase() == "done" && current.GetFence() == op.GetFence():
		x.record.addNote("answer of a cut attempt replayed")
		x.commitBill(requestCtx)
		return x.writeReply(current.GetStatus(), current.GetHeaders(), current.GetBody())
	}
	return &Failure{Fault: unknownFault(), MayHaveRun: true}
}

const unknownPhase = "unknown"

func notRunFault() *fault.Fault {
	return fault.New(fault.Unavailable, "the call was not handed to the service; send it again with the same idempotency key").WithRetryAfter(time.Second)
}

func unknownFault() *fault.Fault {
	return fault.New(fault.Unknown, "the outcome of the call is not known; send it again with the same idempotency key to see it, it does not run twice")
}

// answerUngranted answers a call whose operation an earlier request has begun.
func (x *execution) answerUngranted(ctx context.Context, begin *wire.Begin, op *wire.Operation, refused error) error {
	if op.GetPhase() == unknownPhase && fault.From(refused).Kind == fault.Unknown {
		switch current := x.lookupOutcome(ctx, op); {
		case current.GetPhase() == "aborted" && current.GetFence() == op.GetFence():
			return &Failure{Fault: notRunFault()}
		case current.GetPhase() == "done":
			op, refused = current, nil
		}
	}
	if refused == nil {
		if op.GetPhase() != "done" {
			return &Failure{Fault: unknownFault(), MayHaveRun: true}
		}
		x.record.addNote("stored answer replayed")
		return x.writeReply(op.GetStatus(), op.GetHeaders(), op.GetBody())
	}
	// An operation in progress is the same request, sent earlier: it may run.
	// A conflict refuses this body, but an operation with the same business key
	// is the same payout or registration and may have run under another
	// idempotency key.
	f := fault.From(refused)
	mayHaveRun := begin.GetBusiness() != "" && op.GetBusiness() == begin.GetBusiness() && op.GetPhase() != "aborted"
	return &Failure{Fault: f, MayHaveRun: !f.Kind.GuaranteesNotRun() || f.Kind == fault.Busy || mayHaveRun}
}

func (x *execution) writeReply(status uint32, headers []*wire.Header, body []byte) error {
	x.headWritten = true
	if err := x.caller.Head(int(status), headers); err != nil {
		return context.Canceled // the caller disconnected
	}
	return x.writeBody(body)
}

// propose commits a command. A refusal by the ledger returns a result and an
// error; a lost answer returns only an error.
func (x *execution) propose(ctx context.Context, cmd *wire.Command) (*wire.Result, error) {
	cmd.Actor, cmd.Time = x.r.actor, uint64(time.Now().UnixMilli())
	return x.r.state.Propose(ctx, cmd)
}

func (x *execution) newBegin(route conf.Route) (*wire.Begin, error) {
	business, err := businessKey(route.BusinessKeyFields, x.req.Body)
	if err != nil {
		return nil, err
	}
	h := sha256.New()
	for _, part := range []string{x.req.Method, x.req.Path} {
		_, _ = io.WriteString(h, part+"\x00") // never fails
	}
	_, _ = h.Write(x.req.Body)
	return &wire.Begin{
		Customer: string(x.req.Customer), Route: string(x.req.Route), Key: x.req.Key, Business: business,
		Digest: hex.EncodeToString(h.Sum(nil)), Incarnation: uint64(x.r.book.Incarnation()), Request: string(x.req.ID),
	}, nil
}

// businessKey joins the fields of the body that identify an operation. Equal
// numbers give equal keys however they are written, so that 7 and 7.0 do not
// count as two payouts.
func businessKey(fields []string, body []byte) (string, error) {
	if len(fields) == 0 {
		return "", nil
	}
	dec := json.NewDecoder(strings.NewReader(string(body)))
	dec.UseNumber()
	var object map[string]any
	if err := dec.Decode(&object); err != nil {
		return "", fault.New(fault.Invalid, "the body must be a JSON object with the fields "+strings.Join(fields, ", "))
	}
	parts := make([]string, len(fields))
	for i, field := range fields {
		switch v := object[field].(type) {
		case string:
			parts[i] = strings.TrimSpace(v)
		case json.Number:
			parts[i] = plainNumber(string(v))
		}
		if parts[i] == "" {
			return "", fault.New(fault.Invalid, "field "+field+" of the body must be a text or a number without an exponent")
		}
	}
	key, err := json.Marshal(parts)
	return string(key), err
}

// plainNumber returns the shortest form of a number, or "" if it has an exponent.
func plainNumber(s string) string {
	if strings.ContainsAny(s, "eE") {
		return ""
	}
	if strings.Contains(s, ".") {
		s = strings.TrimSuffix(strings.TrimRight(s, "0"), ".")
	}
	if s == "-0" {
		return "0"
	}
	return s
}
