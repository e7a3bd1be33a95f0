package route

import (
	"context"
	"errors"
	"testing"
	"time"

	"citronledge.example/core/conf"
	"citronledge.example/core/fault"
	"citronledge.example/core/ident"
	"citronledge.example/core/policy"
	"citronledge.example/core/wire"
	"citronledge.example/gate/pool"
)

// attemptEnd is how an attempt ends: after a while, with an error. If it may run, the
// end of the request ends it before.
type attemptEnd struct {
	ran  bool
	err  error
	wait time.Duration
}

// endingServices are services whose attempts end as listed, the last one again and
// again, and that change after the first one.
type endingServices struct {
	*fakeServices

	ends     []attemptEnd
	attempts int
	change   func(*endingServices)
	noServer bool
	noLease  bool
}

func (s *endingServices) LeaseValidAt(time.Time) bool { return !s.noLease }

func (s *endingServices) Candidates(now time.Time, need pool.Requirements, list []policy.Candidate) []policy.Candidate {
	if s.noServer {
		return list
	}
	return s.fakeServices.Candidates(now, need, list)
}

func (s *endingServices) Do(ctx context.Context, _ pool.Attempt, _ pool.ReplySink) (pool.Outcome, error) {
	end := s.ends[min(s.attempts, len(s.ends)-1)]
	if s.attempts++; s.attempts == 1 && s.change != nil {
		s.change(s)
	}
	err := end.err
	select {
	case <-time.After(end.wait):
	case <-ctx.Done():
		if end.ran {
			err = fault.New(fault.Timeout, "the request reached its deadline")
		}
	}
	return pool.Outcome{MayHaveRun: end.ran}, err
}

// withdrawAll withdraws all versions.
func (s *endingServices) withdrawAll() {
	var entries []*wire.Entry
	for _, target := range []string{"small/v1", "large/v1"} {
		entries = append(entries, &wire.Entry{Key: conf.WithdrawnPrefix + target, Value: []byte(`{"reason":"bad"}`)})
	}
	view, err := s.view.Apply(&wire.Delta{From: uint64(s.view.Revision), Revision: uint64(s.view.Revision) + 1, Entries: entries})
	if err != nil {
		panic(err)
	}
	s.view = view
}

// TestMayHaveRun guards against "not run" of a request that a backend server may have
// run, whatever ends it, and against "may have run" of one that none has run.
func TestMayHaveRun(t *testing.T) {
	const forever = time.Hour
	cut, full, refused := fault.New(fault.Upstream, "cut"), fault.New(fault.Busy, "full"), fault.New(fault.Unavailable, "refused")
	noServer := func(s *endingServices) { s.noServer = true }
	noLease := func(s *endingServices) { s.noLease = true }
	for name, x := range map[string]struct {
		ends       []attemptEnd
		change     func(*endingServices)
		quarantine bool // after the first attempt
		want       bool
	}{
		"time ends":                  {ends: []attemptEnd{{ran: true, wait: forever}}, want: true},
		"time ends, not run":         {ends: []attemptEnd{{err: full, wait: forever}}},
		"refused":                    {ends: []attemptEnd{{err: refused}}},
		"full":                       {ends: []attemptEnd{{err: full}}},
		"full after a run":           {ends: []attemptEnd{{ran: true, err: full}}, want: true},
		"cut, then refused":          {ends: []attemptEnd{{ran: true, err: cut}, {err: refused}}, want: true},
		"cut, then full":             {ends: []attemptEnd{{ran: true, err: cut}, {err: full}}, want: true},
		"cut, then full for long":    {ends: []attemptEnd{{ran: true, err: cut}, {err: full, wait: forever}}, want: true},
		"refused, then cut":          {ends: []attemptEnd{{err: refused}, {ran: true, err: cut}}, want: true},
		"cut, then no server":        {ends: []attemptEnd{{ran: true, err: cut}}, change: noServer, want: true},
		"refused, then no server":    {ends: []attemptEnd{{err: refused}}, change: noServer},
		"cut, then no lease":         {ends: []attemptEnd{{ran: true, err: cut}}, change: noLease, want: true},
		"full, then no lease":        {ends: []attemptEnd{{err: full}}, change: noLease},
		"cut, then withdrawn":        {ends: []attemptEnd{{ran: true, err: cut}}, change: (*endingServices).withdrawAll, want: true},
		"refused, then withdrawn":    {ends: []attemptEnd{{err: refused}}, change: (*endingServices).withdrawAll},
		"cut, then in quarantine":    {ends: []attemptEnd{{ran: true, err: cut}}, quarantine: true, want: true},
		"refused, then quarantine":   {ends: []attemptEnd{{err: refused}}, quarantine: true},
		"unanswered, then no server": {ends: []attemptEnd{{ran: true, err: cut, wait: time.Second}}, change: noServer, want: true},
	} {
		for kind, q := range map[string]*Request{
			"answer": newChat("q", "small"), "cascade": newChat("q", conf.AutoModel),
			"stream": {ID: "q", Customer: "acme", Kind: ident.Chat, Target: ident.Target{Model: "small"}, Stream: true},
		} {
			t.Run(name+"/"+kind, func(t *testing.T) {
				withRouter(t, func(t *testing.T, fake *fakeServices, r *Router) {
					s := &endingServices{fakeServices: fake, ends: x.ends, change: x.change}
					r.pool, r.state = s, s
					if x.quarantine {
						s.change = func(*endingServices) {
							block := policy.Block{Parts: policy.Suspects(nil, q.contentHash()), Left: time.Minute, Times: 1}
							r.quarantine.Merge(policy.PartNews{Blocks: []policy.Block{block}}, time.Now())
						}
					}
					err := r.Serve(t.Context(), q, fake)
					failure := &Failure{}
					if !errors.As(err, &failure) || failure.MayHaveRun != x.want {
						t.Errorf("got %v (may have run: %v) after %d attempts, want a failure and %v", err, failure.MayHaveRun, s.attempts, x.want)
					}
				})
			})
		}
	}
}
