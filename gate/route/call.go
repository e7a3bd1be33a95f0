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

// abortTime bounds the wait for an abort, which goes on after the deadline of
// the request, because only its commit allows to say "not run".
const abortTime = 3 * time.Second

func (x *run) call(ctx context.Context) error {
	view := x.r.state.View()
	route, ok := view.Routes[x.req.Route]
	if !ok {
		return fault.New(fault.Missing, "route "+string(x.req.Route)+" does not exist any more; ask the operators")
	}
	return x.repeatable(ctx, pool.Need{Service: route.Service, Kind: ident.Call})
}

// repeatable passes a call through. A short answer is collected, so that the
// call can be tried again; a long one is passed on as it comes.
func (x *run) repeatable(ctx context.Context, need pool.Need) error {
	var avoid ident.Backend
	begun := time.Now()
	for {
		e := effort{need: need, avoid: avoid}
		l := x.raced(ctx, e, func(claim func() bool) contender { return &copier{x: x, claim: claim} })
		if l.err == nil {
			x.r.tools.answered(x.req.Kind, x.subject(e), time.Since(begun))
			c, _ := l.sink.(*copier)
			x.bill(ctx)
			return c.flush()
		}
		if x.headed {
			x.broken = true
			return ErrTruncated
		}
		if !x.again(ctx, l) {
			return l.err
		}
		avoid = l.id
	}
}

// holdBack is how much of an answer is collected before it is passed on.
const holdBack = 256 << 10 // bytes

// copier collects the start of an answer and passes on the rest, always one
// chunk behind, so that the bill is committed before the last piece.
type copier struct {
	answer

	x     *run
	claim func() bool
}

// Chunk implements pool.Sink.
func (c *copier) Chunk(data []byte) error {
	if len(c.body) > 0 && len(c.body)+len(data) > holdBack {
		if !c.claim() {
			return errLost
		}
		if err := c.flush(); err != nil {
			return err
		}
	}
	return c.answer.Chunk(data)
}

// A plain service's own error is its answer, not a failed attempt.
func (c *copier) end() error { return nil }

// stored collects the answer of an operation.
type stored struct{ answer }

func (s *stored) end() error { return nil }

func (c *copier) flush() error {
	if !c.x.headed {
		c.x.headed = true
		if err := c.x.caller.Head(int(c.head.GetStatus()), c.head.GetHeaders()); err != nil {
			return context.Canceled // the caller is gone
		}
	}
	body := c.body
	c.body = nil
	if len(body) == 0 {
		return nil
	}
	return c.x.write(body)
}

// operate runs a call that may run at most once. The state cluster is asked
// before admission: a call that ran before is answered without a slot, and a
// refusal for lack of one says "not run" only after the abort is committed.
func (x *run) operate(ctx context.Context) error {
	route, ok := x.r.state.View().Routes[x.req.Route]
	if !ok {
		return fault.New(fault.Missing, "route "+string(x.req.Route)+" does not exist any more; ask the operators")
	}
	begin, err := x.begin(route)
	if err != nil {
		return &Failure{Fault: fault.From(err)}
	}
	res, err := x.propose(ctx, &wire.Command{Kind: &wire.Command_Begin{Begin: begin}})
	if res == nil {
		return &Failure{Fault: fault.New(fault.Unknown, "the state cluster did not confirm the call; send it again with the same idempotency key"), MayHaveRun: true}
	}
	x.judged = true
	op := res.GetOperation()
	if !op.GetGranted() {
		return x.ungranted(ctx, begin, op, err)
	}
	// The operation finishes even when its caller is gone; the caller gets
	// the answer when it sends the key again.
	limited, cancel := context.WithDeadline(context.WithoutCancel(ctx), x.until)
	defer cancel()
	release, err := x.admit(limited)
	if err != nil {
		return x.abort(limited, op, err)
	}
	release = sync.OnceFunc(release)
	defer release()
	done, err := x.handOver(limited, pool.Need{Service: route.Service, Kind: ident.Call}, op)
	if done {
		return err
	}
	release() // a look-up of the outcome takes no slot of the service
	return x.abort(limited, op, err)
}

// handOver tries side processes until one has taken the operation over. It
// tells whether the operation was done; otherwise the error says why not.
func (x *run) handOver(ctx context.Context, need pool.Need, op *wire.Operation) (done bool, err error) {
	var avoid ident.Backend
	for {
		a := &stored{}
		out, id, err := x.try(ctx, effort{need: need, avoid: avoid, op: op.GetId(), fence: op.GetFence()}, a)
		if err == nil && out.Ran {
			x.bill(ctx)
			return true, x.reply(a.head.GetStatus(), a.head.GetHeaders(), a.body)
		}
		if out.Ran || !x.again(ctx, result{out: out, id: id, err: err}) {
			return false, err
		}
		avoid = id
	}
}

// abort ends an operation whose attempt failed. Only its commit proves that
// the service was not called and never will be under this fence.
func (x *run) abort(request context.Context, op *wire.Operation, cause error) error {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(request), abortTime)
	defer cancel()
	res, _ := x.propose(ctx, &wire.Command{Kind: &wire.Command_Abort{Abort: &wire.Abort{
		Operation: op.GetId(), Fence: op.GetFence(),
	}}})
	now := res.GetOperation()
	if now.GetPhase() == unknownPhase && now.GetFence() == op.GetFence() {
		now = x.lookupOutcome(request, now)
	}
	switch {
	case now.GetPhase() == "aborted" && now.GetFence() == op.GetFence():
		x.rec.note("aborted")
		f := fault.From(cause)
		if f == nil || !f.Kind.NotRun() {
			f = notRun()
		}
		return &Failure{Fault: f}
	case now.GetPhase() == "done" && now.GetFence() == op.GetFence():
		x.rec.note("answer of a cut attempt replayed")
		x.bill(request)
		return x.reply(now.GetStatus(), now.GetHeaders(), now.GetBody())
	}
	return &Failure{Fault: unknown(), MayHaveRun: true}
}

const unknownPhase = "unknown"

func notRun() *fault.Fault {
	return fault.New(fault.Unavailable, "the call was not handed to the service; send it again with the same idempotency key").After(time.Second)
}

func unknown() *fault.Fault {
	return fault.New(fault.Unknown, "the outcome of the call is not known; send it again with the same idempotency key to see it, it does not run twice")
}

// ungranted answers a call whose operation another request has begun before.
func (x *run) ungranted(ctx context.Context, begin *wire.Begin, op *wire.Operation, refused error) error {
	if op.GetPhase() == unknownPhase && fault.From(refused).Kind == fault.Unknown {
		switch now := x.lookupOutcome(ctx, op); {
		case now.GetPhase() == "aborted" && now.GetFence() == op.GetFence():
			return &Failure{Fault: notRun()}
		case now.GetPhase() == "done":
			op, refused = now, nil
		}
	}
	if refused == nil {
		if op.GetPhase() != "done" {
			return &Failure{Fault: unknown(), MayHaveRun: true}
		}
		x.rec.note("stored answer replayed")
		return x.reply(op.GetStatus(), op.GetHeaders(), op.GetBody())
	}
	// An operation in progress is this very request, sent before: it may run.
	// A conflict refuses this body, but the operation with its business key is
	// the same payout or registration and may have run under another key.
	f := fault.From(refused)
	held := begin.GetBusiness() != "" && op.GetBusiness() == begin.GetBusiness() && op.GetPhase() != "aborted"
	return &Failure{Fault: f, MayHaveRun: !f.Kind.NotRun() || f.Kind == fault.Busy || held}
}

func (x *run) reply(status uint32, headers []*wire.Header, body []byte) error {
	x.headed = true
	if err := x.caller.Head(int(status), headers); err != nil {
		return context.Canceled // the caller is gone
	}
	return x.write(body)
}

// propose commits a command. A refusal by the ledger gives a result and an
// error, a lost answer only an error.
func (x *run) propose(ctx context.Context, cmd *wire.Command) (*wire.Result, error) {
	cmd.Actor, cmd.Time = x.r.actor, uint64(time.Now().UnixMilli())
	return x.r.state.Propose(ctx, cmd)
}

func (x *run) begin(route conf.Route) (*wire.Begin, error) {
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
// numbers give equal keys however they are written, so that 7 and 7.0 cannot
// be two payouts.
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
