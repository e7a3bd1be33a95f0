package front_test

import (
	"context"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"runtime"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"google.golang.org/protobuf/proto"

	"citronledge.example/core/conf"
	"citronledge.example/core/fault"
	"citronledge.example/core/ident"
	"citronledge.example/core/ledger"
	"citronledge.example/core/link"
	"citronledge.example/core/wire"
	"citronledge.example/gate/bill"
	"citronledge.example/gate/front"
	"citronledge.example/gate/pool"
	"citronledge.example/gate/route"
)

// cluster stands in for the client of the state cluster: the real ledger
// without replication.
type cluster struct {
	mu      sync.Mutex
	ledger  *ledger.Ledger
	index   uint64
	view    *conf.View
	changed chan struct{}
	inc     ident.Incarnation
	leased  bool
	down    bool
}

func newCluster() *cluster {
	c := &cluster{ledger: ledger.New(), view: conf.EmptyView(), changed: make(chan struct{}), leased: true}
	res, _ := c.Propose(context.Background(), &wire.Command{Kind: &wire.Command_Enroll{Enroll: &wire.Enroll{Name: "gate-1"}}})
	c.inc = ident.Incarnation(res.GetEnrolled().GetIncarnation())
	return c
}

func (c *cluster) Propose(_ context.Context, cmd *wire.Command) (*wire.Result, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.down {
		return nil, fault.New(fault.Unavailable, "no leader") // not committed
	}
	cmd.Time = uint64(time.Now().UnixMilli())
	data, err := proto.Marshal(cmd)
	if err != nil {
		return nil, err
	}
	c.index++
	res := &wire.Result{}
	err = proto.Unmarshal(c.ledger.Apply(c.index, data), res)
	if r := ident.Revision(c.ledger.Revision()); err == nil && r != c.view.Revision {
		c.view, err = c.view.Apply(c.ledger.Delta(uint64(c.view.Revision)))
		close(c.changed)
		c.changed = make(chan struct{})
	}
	if err != nil {
		return nil, err
	}
	return res, res.GetFault().Err()
}

func (c *cluster) View() *conf.View {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.view
}

func (c *cluster) ViewChanged() <-chan struct{} {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.changed
}

func (c *cluster) LeaseExpiry() time.Time {
	if c.LeaseValidAt(time.Now()) {
		return time.Now().Add(ident.LeaseDuration)
	}
	return time.Time{}
}

func (c *cluster) LeaseValidAt(time.Time) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.leased
}

func (c *cluster) Incarnation() ident.Incarnation {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.inc
}

func (c *cluster) set(f func()) {
	c.mu.Lock()
	defer c.mu.Unlock()
	f()
}

// put changes the configuration; a nil value deletes its key.
func (c *cluster) put(t testing.TB, entries map[string]any) {
	t.Helper()
	var list []*wire.Entry
	for key, value := range entries {
		data, err := json.Marshal(value)
		if err != nil {
			t.Fatal(err)
		}
		list = append(list, &wire.Entry{Key: key, Value: data, Gone: value == nil})
	}
	cmd := &wire.Command{Kind: &wire.Command_Change{Change: &wire.Change{
		Number: c.ledger.LastChangeNumber() + 1, Digest: ledger.ChangeDigest(list), Entries: list,
	}}}
	if strings.HasPrefix(list[0].Key, conf.MembersPrefix) {
		cmd.Kind = &wire.Command_Members{Members: &wire.Members{Entries: list}}
	}
	if _, err := c.Propose(context.Background(), cmd); err != nil {
		t.Fatal(err)
	}
}

// side stands in for a side process with its backend server.
type side struct {
	t    testing.TB
	load *wire.Load
	work func(*task)

	mu      sync.Mutex
	leaving bool
	mute    bool // sends no load reports
	works   []*wire.Work
	settled []*wire.Billing
	grants  []*wire.Grant
	sess    *link.Session
	ctl     *link.Stream
}

// task is one attempt at a side.
type task struct {
	*side
	work *wire.Work
	st   *link.Stream
	gone chan struct{} // closed when the gate closes the stream
}

func (k *task) send(replies ...*wire.Reply) {
	for _, r := range replies {
		if k.st.Send(r) != nil {
			return // the gate is gone
		}
	}
}

func head(w *wire.Work, status uint32, typ string) *wire.Reply {
	return &wire.Reply{Kind: &wire.Reply_Head{Head: &wire.Head{
		Request: w.GetRequest(), Attempt: w.GetAttempt(), Status: status,
		Headers: []*wire.Header{{Name: "Content-Type", Value: typ}},
	}}}
}

func chunk(s string) *wire.Reply {
	return &wire.Reply{Kind: &wire.Reply_Chunk{Chunk: &wire.Chunk{Data: []byte(s)}}}
}

func end(tokens int64) *wire.Reply {
	return &wire.Reply{Kind: &wire.Reply_End{End: &wire.End{Ran: true, Usage: &wire.Usage{Input: 1, Output: tokens}}}}
}

func refused(k fault.Kind) *wire.Reply {
	return &wire.Reply{Kind: &wire.Reply_End{End: &wire.End{Fault: wire.NewFault(fault.New(k, "refused by the side process"))}}}
}

func event(i int) *wire.Reply {
	return chunk(fmt.Sprintf("data: {\"choices\":[{\"delta\":{\"content\":\"t%d\"}}]}\n\n", i))
}

const streamed = 5 // tokens of a streamed answer

// serve answers a chat whole or streamed, from the token to resume at.
func (k *task) serve() {
	if !k.work.GetStream() {
		k.send(head(k.work, 200, "application/json"), chunk(`{"by":"`+k.load.GetBackend()+`","choices":[{"message":{"content":"`+k.work.GetRequest()+`"}}]}`), end(7))
		return
	}
	k.send(head(k.work, 200, "text/event-stream"))
	k.events()
}

func (k *task) events() {
	for i := int(k.work.GetResume()); i < streamed; i++ {
		k.send(event(i))
	}
	k.send(chunk("data: {\"choices\":[{\"delta\":{\"content\":\"\"},\"finish_reason\":\"stop\"}]}\n\n"), end(streamed-int64(k.work.GetResume())))
}

func (s *side) dial(keys *link.Keys) (*link.Session, error) {
	near, far := net.Pipe()
	go func() {
		sess, err := link.Server(far, link.Config{Name: s.load.GetBackend(), Keys: keys})
		if err != nil {
			return
		}
		s.mu.Lock()
		s.sess = sess
		s.mu.Unlock()
		for {
			st, err := sess.Accept()
			if err != nil {
				return
			}
			if st.Kind() == wire.Kind_CONTROL {
				s.set(func() { s.ctl = st })
				go s.listen(st)
				go s.control(sess, st)
			} else {
				go s.run(st)
			}
		}
	}()
	return link.Client(near, link.Config{Name: "gate-1", Keys: keys})
}

func (s *side) control(sess *link.Session, st *link.Stream) {
	tick := time.NewTicker(ident.MinLoadInterval)
	defer tick.Stop()
	for n := uint64(0); ; n++ {
		s.mu.Lock()
		load := proto.Clone(s.load).(*wire.Load)
		load.Leaving = s.leaving
		mute := s.mute
		s.mu.Unlock()
		if !mute {
			_ = st.Send(&wire.Control{Kind: &wire.Control_Load{Load: load}})
		}
		if n%2 == 0 {
			_ = st.Send(&wire.Control{Kind: &wire.Control_Renew{Renew: &wire.Renew{Seq: n + 1, Revision: s.grant().GetRevision()}}})
		}
		select {
		case <-tick.C:
		case <-sess.Done():
			return
		}
	}
}

// grant returns the newest grant.
func (s *side) grant() *wire.Grant {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.grants) == 0 {
		return nil
	}
	return s.grants[len(s.grants)-1]
}

// billed returns how many records the gate has settled.
func (s *side) billed() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.settled)
}

func (s *side) set(f func()) {
	s.mu.Lock()
	defer s.mu.Unlock()
	f()
}

// handle sets what sides do with work.
func (w *world) handle(f func(*task), ids ...string) {
	for _, id := range ids {
		w.sides[id].set(func() { w.sides[id].work = f })
	}
}

func (s *side) listen(st *link.Stream) {
	for {
		var m wire.Control
		if st.Recv(&m) != nil {
			return
		}
		s.mu.Lock()
		switch k := m.GetKind().(type) {
		case *wire.Control_Grant:
			s.grants = append(s.grants, k.Grant)
		case *wire.Control_Settled:
			s.settled = append(s.settled, k.Settled.GetBillings()...)
		}
		s.mu.Unlock()
	}
}

func (s *side) run(st *link.Stream) {
	k := &task{side: s, work: &wire.Work{}, st: st, gone: make(chan struct{})}
	if st.Recv(k.work) != nil {
		return
	}
	s.mu.Lock()
	s.works = append(s.works, k.work)
	work := s.work
	s.mu.Unlock()
	go func() {
		_ = st.Recv(&wire.Reply{})
		close(k.gone)
	}()
	work(k)
	_ = st.Close()
}

func (s *side) got() []*wire.Work {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.works
}

// relay commits a command through the gate as a side process does.
func (s *side) relay(cmd *wire.Command) *wire.Result {
	s.mu.Lock()
	sess := s.sess
	s.mu.Unlock()
	st, err := sess.Open(wire.Kind_RELAY)
	if err != nil {
		return &wire.Result{Fault: wire.NewFault(fault.From(err))}
	}
	defer func() { _ = st.Close() }()
	res := &wire.Result{}
	if err := st.Send(cmd); err == nil {
		err = st.Recv(res)
		if err != nil {
			res.Fault = wire.NewFault(fault.From(err))
		}
	}
	return res
}

// world is a whole gate with sides a, b and pay.
type world struct {
	t      testing.TB
	c      *cluster
	sides  map[string]*side
	pool   *pool.Pool
	book   *bill.Book
	router *route.Router
	front  *front.Front
	rater  func(q route.RatingRequest) (ident.Quality, time.Duration)
	stop   context.CancelFunc
}

// Rate implements route.Rater.
func (w *world) Rate(ctx context.Context, q route.RatingRequest) (ident.Quality, error) {
	quality, wait := w.rater(q)
	select {
	case <-time.After(wait):
		return quality, nil
	case <-ctx.Done():
		return 0, ctx.Err()
	}
}

func newWorld(t testing.TB) *world {
	w := &world{t: t, c: newCluster(), sides: map[string]*side{}}
	w.c.put(t, map[string]any{
		"customers/acme": conf.Customer{KeyDigests: []string{conf.KeyDigest("k1")}, Models: []string{"small", "large"}, Routes: []string{"pay", "look"}, Cascade: "std"},
		"customers/poor": conf.Customer{KeyDigests: []string{conf.KeyDigest("k2")}, Models: []string{"small/v1"}},
		"models/small":   conf.Model{InputPrice: 1, OutputPrice: 1, PriorQuality: 0.78, Versions: []ident.Version{"v1", "v2"}},
		"models/large":   conf.Model{InputPrice: 10, OutputPrice: 10, PriorQuality: 0.9, Versions: []ident.Version{"v1"}},
		"cascades/std":   conf.Cascade{Steps: []ident.Model{"small", "large"}, TargetQuality: 0.8},
		"routes/pay":     conf.Route{PathPrefix: "/pay", Methods: []string{"POST"}, Service: "pay", BusinessKeyFields: []string{"home", "day"}},
		"routes/look":    conf.Route{PathPrefix: "/look", Methods: []string{"GET"}, Service: "pay", Repeatable: true},
		"limits":         conf.Limits{MaxBodyBytes: 4096},
	})
	served := []*wire.Served{{Model: "small", Version: "v1"}, {Model: "small", Version: "v2"}, {Model: "large", Version: "v1"}}
	w.add("a", &wire.Load{Served: served, Slots: 4, Healthy: true})
	w.add("b", &wire.Load{Served: served, Slots: 4, Healthy: true})
	w.add("pay", &wire.Load{Service: "pay", Slots: 4, Healthy: true})
	keys := link.NewKeys("k", link.RoleProcess, []byte("0123456789abcdef"))
	w.book = bill.New(bill.Actor("gate-1"), bill.Client(w.c),
		bill.OnCommitted(func(id ident.Backend, list []*wire.Billing) { w.pool.NotifySettled(id, list) }))
	w.pool = pool.New(pool.WithName("gate-1", "z1"), pool.WithClient(w.c), pool.WithRecordCommitter(w.book.CommitRecords),
		pool.WithDialer(func(_ context.Context, addr string) (*link.Session, error) { return w.sides[addr].dial(keys) }))
	w.rater = func(route.RatingRequest) (ident.Quality, time.Duration) { return 0.9, 10 * time.Millisecond }
	w.router = route.New(route.Actor("gate-1"), route.Client(w.c), route.Pool(w.pool), route.Book(w.book), route.RatingService(w))
	w.front = front.New(front.WithClient(w.c), front.WithRouter(w.router), front.WithIDPrefix("test-"))
	return w
}

func (w *world) add(id string, load *wire.Load) {
	load.Backend = id
	w.sides[id] = &side{t: w.t, load: load, work: (*task).serve}
	w.c.put(w.t, map[string]any{conf.MembersPrefix + id: conf.Member{
		Addr: id, Zone: "z1", Presence: conf.MemberLive, Service: ident.Service(load.GetService()),
	}})
}

// start runs the gate until the test ends.
func (w *world) start() {
	ctx, cancel := context.WithCancel(context.Background())
	w.stop = cancel
	var wg sync.WaitGroup
	for _, run := range []func(context.Context) error{w.pool.Run, w.book.Run, w.router.Run} {
		wg.Go(func() { _ = run(ctx) })
	}
	w.t.Cleanup(func() {
		cancel()
		wg.Wait()
	})
}

// inBubble runs a test with a gate in a synctest bubble.
func inBubble(t *testing.T, f func(t *testing.T, w *world)) {
	t.Helper()
	// yamux pools timers, which must not pass from one bubble to another; two
	// collections empty a sync.Pool.
	runtime.GC()
	runtime.GC()
	synctest.Test(t, func(t *testing.T) {
		w := newWorld(t)
		w.start()
		time.Sleep(time.Second) // links, first reports
		f(t, w)
	})
}

// request is one call of the API.
type request struct {
	method, path, body string
	key                string // bearer key; k1 if empty
	headers            map[string]string
	ctx                context.Context
}

// do sends a request; cut tells that the connection would be broken off.
func (w *world) do(q request) (rec *httptest.ResponseRecorder, cut bool) {
	if q.method == "" {
		q.method = http.MethodPost
	}
	if q.path == "" {
		q.path = "/v1/chat/completions"
	}
	if q.key == "" {
		q.key = "k1"
	}
	if q.ctx == nil {
		q.ctx = context.Background()
	}
	r := httptest.NewRequestWithContext(q.ctx, q.method, q.path, strings.NewReader(q.body))
	r.Header.Set("Authorization", "Bearer "+q.key)
	for name, value := range q.headers {
		r.Header.Set(name, value)
	}
	rec = httptest.NewRecorder()
	defer func() {
		if p := recover(); p != nil {
			if p != http.ErrAbortHandler {
				panic(p)
			}
			cut = true
		}
	}()
	w.front.ServeHTTP(rec, r)
	return rec, false
}

func code(rec *httptest.ResponseRecorder) string {
	var o fault.ErrorObject
	_ = json.Unmarshal(rec.Body.Bytes(), &o)
	return fmt.Sprintf("%d %s ran=%s", rec.Code, o.Error.Code, o.Error.Ran)
}

// bills returns the bills of a request after the given time.
func (w *world) bills() []*wire.Bill {
	time.Sleep(200 * time.Millisecond)
	return w.c.ledger.Bills("", 0, 0)
}

const (
	plain  = `{"model":"small","messages":[{"role":"user","content":"hi"}]}`
	stream = `{"model":"small","stream":true,"messages":[]}`
)
