package route

import (
	"context"
	"errors"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"citronledge.example/core/conf"
	"citronledge.example/core/fault"
	"citronledge.example/core/ident"
	"citronledge.example/core/policy"
	"citronledge.example/core/wire"
	"citronledge.example/gate/pool"
)

// fakeServices implements the state cluster, the biller, the rating service, the
// pool and the caller. Function do answers each attempt, and rate each rating
// call, with the delay of the rating.
type fakeServices struct {
	view  *conf.View
	slots int
	do    func(ctx context.Context, a pool.Attempt, sink pool.ReplySink) error
	rate  func(q RatingRequest) (ident.Quality, time.Duration)
	broke func(a pool.Attempt) bool // whether the backend server ends its connection; nil for never
	// brokeAfter is the number of chunks that arrive before that end.
	brokeAfter int
	mu         sync.Mutex
	next       ident.Sequence
}

func (f *fakeServices) View() *conf.View { return f.view }

func (f *fakeServices) LeaseValidAt(time.Time) bool                                  { return true }
func (f *fakeServices) Incarnation() ident.Incarnation                               { return 1 }
func (f *fakeServices) Commit(context.Context, *wire.Bill, []ident.Backend) error    { return nil }
func (f *fakeServices) Slots(time.Time, ident.Model, ident.Service) int              { return f.slots }
func (f *fakeServices) Head(int, []*wire.Header) error                               { return nil }
func (f *fakeServices) Write([]byte) error                                           { return nil }
func (f *fakeServices) Propose(context.Context, *wire.Command) (*wire.Result, error) { return nil, nil }

func (f *fakeServices) NextBilling() (ident.BillKey, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.next++
	return ident.BillKey{Incarnation: 1, Sequence: f.next}, true
}

func (f *fakeServices) Candidates(_ time.Time, _ pool.Requirements, list []policy.Candidate) []policy.Candidate {
	return append(list, policy.Candidate{Backend: "a", Slots: 1000}, policy.Candidate{Backend: "b", Slots: 1000})
}

func (f *fakeServices) Do(ctx context.Context, a pool.Attempt, sink pool.ReplySink) (pool.Outcome, error) {
	if f.broke != nil && f.broke(a) {
		return pool.Outcome{MayHaveRun: true, Broke: true, Chunks: f.brokeAfter}, fault.New(fault.Upstream, "broke")
	}
	err := f.do(ctx, a, sink)
	return pool.Outcome{MayHaveRun: true, Complete: err == nil}, err
}

func (f *fakeServices) Rate(ctx context.Context, q RatingRequest) (ident.Quality, error) {
	quality, wait := f.rate(q)
	select {
	case <-time.After(wait):
		return quality, nil
	case <-ctx.Done():
		return 0, ctx.Err()
	}
}

// answerAfter answers with one chunk after the delay d.
func answerAfter(ctx context.Context, d time.Duration, typ string, sink pool.ReplySink) error {
	select {
	case <-time.After(d):
	case <-ctx.Done():
		return ctx.Err()
	}
	err := sink.Head(&wire.Head{Status: 200, Headers: []*wire.Header{{Name: "Content-Type", Value: typ}}})
	if err != nil {
		return err
	}
	return sink.Chunk([]byte("data: {\"content\":\"x\"}\n\n"))
}

func withRouter(t *testing.T, f func(t *testing.T, fake *fakeServices, r *Router)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		var list []*wire.Entry
		for key, value := range map[string]string{
			"customers/acme": `{"models":["small","large"],"cascade":"std"}`,
			"customers/long": `{"models":["small"]}`,
			"models/small":   `{"input":1,"output":1,"quality":0.5,"versions":["v1"]}`,
			"models/large":   `{"input":2,"output":2,"quality":0.9,"versions":["v1"]}`,
			"cascades/std":   `{"steps":["small","large"],"target":0.8}`,
			"limits":         `{"queue":2}`,
		} {
			list = append(list, &wire.Entry{Key: key, Value: []byte(value)})
		}
		view, err := conf.EmptyView().Apply(&wire.Delta{Revision: 1, Entries: list, Full: true})
		if err != nil {
			t.Fatal(err)
		}
		fake := &fakeServices{view: view, slots: 100, do: func(ctx context.Context, _ pool.Attempt, sink pool.ReplySink) error {
			return answerAfter(ctx, time.Second, "application/json", sink)
		}}
		r := New(Client(fake), Pool(fake), Book(fake), RatingService(fake))
		fake.rate = func(RatingRequest) (ident.Quality, time.Duration) { return 0, time.Hour }
		ctx, cancel := context.WithCancel(t.Context())
		var wg sync.WaitGroup
		wg.Go(func() { _ = r.Run(ctx) })
		f(t, fake, r)
		cancel()
		wg.Wait()
	})
}

func newChat(id string, model ident.Model) *Request {
	return &Request{ID: ident.Request(id), Customer: "acme", Kind: ident.Chat, Target: ident.Target{Model: model}}
}

// Refused requests must not earn retries and hedges. Otherwise the extra work
// would grow during an overload, when there is no capacity for it.
func TestRefusedRequestsEarnNoExtraWork(t *testing.T) {
	withRouter(t, func(t *testing.T, fake *fakeServices, r *Router) {
		fake.slots = 0
		for range 200 {
			if r.Serve(t.Context(), newChat("x", "small"), fake) == nil {
				t.Fatal("got an answer without a slot")
			}
		}
		if r.adaptive.spendExtraWork() {
			t.Error("got extra work earned by refused requests, want none")
		}
	})
}

// The predicted slot time must not count requests that failed fast or whose
// caller disconnected, since they would make it too short.
func TestSlotTimePrediction(t *testing.T) {
	for name, c := range map[string]struct {
		err  error
		want bool
	}{
		"answer":   {nil, true},
		"deadline": {fault.New(fault.Timeout, "x"), true},
		"failure":  {fault.New(fault.Upstream, "x"), false},
		"caller":   {context.Canceled, false},
	} {
		if got := countsForSlotTime(c.err); got != c.want {
			t.Errorf("%s: got %t, want %t", name, got, c.want)
		}
	}
	withRouter(t, func(t *testing.T, fake *fakeServices, r *Router) {
		_ = r.Serve(t.Context(), newChat("a", "small"), fake)
		answer := fake.do
		fake.do = func(context.Context, pool.Attempt, pool.ReplySink) error {
			return fault.New(fault.Forbidden, "fails at once")
		}
		for range 100 {
			_ = r.Serve(t.Context(), newChat("b", "small"), fake)
		}
		fake.do = answer
		q := r.admission.list()[0]
		if got := q.slotTimes[slotTimeKey{customer: "acme", kind: ident.Chat, model: "small"}]; got != time.Second {
			t.Errorf("got a predicted time of %s, want that of the answers", got)
		}
	})
}

// A request displaced from a full queue by another customer must be refused
// because the queue is full, not because of its deadline.
func TestFullQueue(t *testing.T) {
	withRouter(t, func(t *testing.T, fake *fakeServices, r *Router) {
		fake.slots = 1
		var wg sync.WaitGroup
		errs := make([]error, 4)
		for i, customer := range []ident.Customer{"acme", "acme", "acme", "long"} {
			wg.Go(func() {
				req := newChat(string(rune('a'+i)), "small")
				req.Customer = customer
				errs[i] = r.Serve(t.Context(), req, fake)
			})
			synctest.Wait()
		}
		wg.Wait()
		refused := 0
		for _, err := range errs {
			var f *Failure
			if errors.As(err, &f) {
				refused++
				if f.MayHaveRun || f.Message != refusal(policy.ReasonQueueFull, 0).Error() {
					t.Errorf("got %v, want a refusal for a full queue", f)
				}
			}
		}
		if refused != 1 {
			t.Errorf("got %d refusals, want 1", refused)
		}
	})
}

// Ratings that come minutes after the answer must count for the quality estimates.
func TestLateRating(t *testing.T) {
	withRouter(t, func(t *testing.T, fake *fakeServices, r *Router) {
		fake.rate = func(RatingRequest) (ident.Quality, time.Duration) { return 1, 5 * time.Minute }
		if err := r.Serve(t.Context(), newChat("a", conf.AutoModel), fake); err != nil {
			t.Fatal(err)
		}
		large := ident.Target{Model: "large", Version: "v1"}
		before := r.adaptive.estimateQuality(time.Now(), ident.Chat, large, 0.9).Mean
		time.Sleep(6 * time.Minute)
		if got := r.adaptive.estimateQuality(time.Now(), ident.Chat, large, 0.9).Mean; got <= before {
			t.Errorf("got an estimate of %v after the rating, want more than %v", got, before)
		}
	})
}

// The race of a stream is decided by its first event. If the hedge delay followed
// the time of the whole stream, the hedge would start far too late.
func TestStreamHedge(t *testing.T) {
	withRouter(t, func(t *testing.T, fake *fakeServices, r *Router) {
		fake.do = func(ctx context.Context, _ pool.Attempt, sink pool.ReplySink) error {
			err := answerAfter(ctx, 100*time.Millisecond, "text/event-stream", sink)
			time.Sleep(10 * time.Second)
			return err
		}
		for range 60 {
			req := newChat("a", "small")
			req.Stream = true
			if err := r.Serve(t.Context(), req, fake); err != nil {
				t.Fatal(err)
			}
		}
		if d, ok := r.adaptive.hedgeDelay(ident.Chat, streamLatencyKey("small")); !ok || d > 120*time.Millisecond {
			t.Errorf("got a hedge after %s, %t, want it after the usual first event", d, ok)
		}
	})
}
