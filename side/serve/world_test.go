package serve

import (
	"context"
	"encoding/json"
	"errors"
	"net"
	"net/http"
	"net/url"
	"runtime"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"google.golang.org/protobuf/proto"

	"citronledge.example/core/fault"
	"citronledge.example/core/ident"
	"citronledge.example/core/ledger"
	"citronledge.example/core/link"
	"citronledge.example/core/wire"
	"citronledge.example/side/caller"
	"citronledge.example/side/engine"
	stubengine "citronledge.example/stub/engine"
	"citronledge.example/stub/plain"
)

var testKeys = link.NewKeys("test", link.RoleProcess, []byte("0123456789abcdef"))

// pipes is a listener whose connections are net.Pipes.
type pipes struct {
	conns chan net.Conn
	done  chan struct{}
	once  sync.Once
}

func newPipes() *pipes { return &pipes{conns: make(chan net.Conn), done: make(chan struct{})} }

func (p *pipes) Accept() (net.Conn, error) {
	select {
	case c := <-p.conns:
		return c, nil
	case <-p.done:
		return nil, net.ErrClosed
	}
}

func (p *pipes) Close() error {
	p.once.Do(func() { close(p.done) })
	return nil
}

func (p *pipes) Addr() net.Addr { return &net.TCPAddr{} }

func (p *pipes) dial(context.Context, string, string) (net.Conn, error) {
	here, there := net.Pipe()
	select {
	case p.conns <- there:
		return here, nil
	case <-p.done:
		return nil, &net.OpError{Op: "dial", Err: errors.New("refused")}
	}
}

// world is a side process with its backend server in a synctest bubble.
type world struct {
	t       *testing.T
	server  *Server
	engine  *stubengine.Engine
	service *plain.Service
	ln      *pipes // of the side process
	back    *pipes // of the backend server
	dialing time.Duration
	defect  atomic.Bool // calls of the engine panic
}

// fragile panics while the world has a defect.
type fragile struct {
	http.RoundTripper
	w *world
}

func (f fragile) RoundTrip(r *http.Request) (*http.Response, error) {
	if f.w.defect.Load() {
		panic("defect")
	}
	return f.RoundTripper.RoundTrip(r)
}

var target = ident.Target{Model: "small", Version: "v1"}

// inBubble runs a test in a bubble. yamux keeps timers in a global pool, and
// a timer must not leave its bubble: two collections empty the pool.
func inBubble(t *testing.T, test func(t *testing.T)) {
	runtime.GC()
	runtime.GC()
	synctest.Test(t, test)
}

// newWorld starts a side process beside an engine, or beside a service.
func newWorld(t *testing.T, withService bool) *world {
	w := &world{t: t, ln: newPipes(), back: newPipes()}
	set := Settings{Name: "runner-1", Zone: "a", Keys: testKeys}
	transport := &http.Transport{DialContext: w.dial}
	var handler http.Handler
	if withService {
		w.service = plain.New([]string{"household"})
		handler = w.service
		set.Service = caller.New("payouts", &url.URL{Scheme: "http", Host: "service"}, 0, w.dial)
	} else {
		w.engine = stubengine.New(stubengine.Settings{
			Models: []ident.Target{target, {Model: "small", Version: "v2"}, {Model: "big", Version: "v1"}},
			Slots:  4, FirstTokenDelay: 100 * time.Millisecond, TokenInterval: 50 * time.Millisecond,
		})
		handler = w.engine
		set.Engine = engine.New("http://engine", fragile{transport, w})
	}
	w.server = New(set)
	srv := &http.Server{Handler: handler, ReadHeaderTimeout: time.Second}
	ctx, cancel := context.WithCancel(context.Background())
	ran := make(chan error, 2)
	go func() { ran <- srv.Serve(w.back) }()
	ready := make(chan struct{})
	go func() { ran <- w.server.Run(ctx, w.ln, func() { close(ready) }) }()
	<-ready
	t.Cleanup(func() {
		cancel()
		_ = srv.Close()
		transport.CloseIdleConnections()
		<-ran
		<-ran
		time.Sleep(5 * time.Second) // delayed results of the ledger end
	})
	return w
}

func (w *world) dial(ctx context.Context, network, addr string) (net.Conn, error) {
	time.Sleep(w.dialing)
	return w.back.dial(ctx, network, addr)
}

// fakeGate is the other end of a session.
type fakeGate struct {
	t    *testing.T
	sess *link.Session
	conn *counted
	ctl  *link.Stream
	book *book

	mu      sync.Mutex
	config  *wire.Delta
	ttl     uint32
	delay   time.Duration // of grants
	loads   []*wire.Load
	renews  []*wire.Renew
	records []*wire.Record
}

// config is a configuration with one withdrawn version and two customers.
func config(revision uint64) *wire.Delta {
	d := &wire.Delta{Revision: revision, Full: true}
	for key, value := range map[string]string{
		"models/small":       `{"versions":["v1","v2"],"input":1,"output":2}`,
		"models/big":         `{"versions":["v1"]}`,
		"withdrawn/small/v2": `{"reason":"bad"}`,
		"customers/coop":     `{"keys":[],"models":["small"],"routes":["pay","state"]}`,
		"customers/other":    `{"keys":[],"models":["small/v1"]}`,
		"routes/pay":         `{"path":"/payouts","methods":["POST"],"service":"payouts","lookup":"/lookup/"}`,
		"routes/state":       `{"path":"/state","methods":["GET"],"service":"payouts","repeatable":true}`,
	} {
		d.Entries = append(d.Entries, &wire.Entry{Key: key, Value: []byte(value)})
	}
	return d
}

// link connects a gate that grants leases of a time in milliseconds.
func (w *world) link(name string, book *book, ttl uint32, delay time.Duration) *fakeGate {
	w.t.Helper()
	raw, err := w.ln.dial(context.Background(), "", "")
	if err != nil {
		w.t.Fatal(err)
	}
	conn := &counted{Conn: raw}
	sess, err := link.Client(conn, link.Config{Name: name, Keys: testKeys})
	if err != nil {
		w.t.Fatal(err)
	}
	g := &fakeGate{t: w.t, sess: sess, conn: conn, book: book, config: config(10), ttl: ttl, delay: delay}
	w.t.Cleanup(func() { _ = sess.Close() })
	if g.ctl, err = sess.Open(wire.Kind_CONTROL); err != nil {
		w.t.Fatal(err)
	}
	go g.read()
	go g.accept()
	synctest.Wait()
	return g
}

func (g *fakeGate) read() {
	for {
		var m wire.Control
		if g.ctl.Recv(&m) != nil {
			return
		}
		g.mu.Lock()
		g.records = append(g.records, m.GetRecords().GetRecords()...)
		if l := m.GetRenew().GetLoad(); l != nil {
			if n := len(g.loads); n > 0 {
				l.Fill(g.loads[n-1])
			}
			g.loads = append(g.loads, l)
		}
		if r := m.GetRenew(); r != nil {
			g.renews = append(g.renews, r)
			grant := &wire.Grant{Seq: r.GetSeq(), Ttl: g.ttl, Revision: g.config.GetRevision()}
			if r.GetRevision() < g.config.GetRevision() {
				grant.Delta = g.config
			}
			answer := func() { _ = g.ctl.Send(&wire.Control{Kind: &wire.Control_Grant{Grant: grant}}) }
			if g.delay > 0 {
				time.AfterFunc(g.delay, answer)
			} else {
				go answer() // a timer of 0 crashed the race runtime inside a bubble
			}
		}
		g.mu.Unlock()
	}
}

func (g *fakeGate) accept() {
	for {
		st, err := g.sess.Accept()
		if err != nil {
			return
		}
		go func() {
			defer func() { _ = st.Close() }()
			var cmd wire.Command
			if st.Recv(&cmd) == nil {
				if result := g.book.relay(&cmd); result != nil {
					_ = st.Send(result)
				}
			}
		}()
	}
}

func (g *fakeGate) settle(inc, seq uint64) {
	m := &wire.Settled{Billings: []*wire.Billing{{Incarnation: inc, First: seq, Last: seq}}}
	_ = g.ctl.Send(&wire.Control{Kind: &wire.Control_Settled{Settled: m}})
}

// billed returns how often records of a sequence number came.
func (g *fakeGate) billed(seq uint64) int {
	g.mu.Lock()
	defer g.mu.Unlock()
	n := 0
	for _, r := range g.records {
		if r.GetBill().GetSequence() == seq {
			n++
		}
	}
	return n
}

// result is a whole reply.
type result struct {
	head   *wire.Head
	chunks []string
	end    *wire.End
}

func (r result) text() string { return strings.Join(r.chunks, "") }

func (r result) kind() fault.Kind { return fault.Kind(r.end.GetFault().GetKind()) }

func (g *fakeGate) open(w *wire.Work) *link.Stream {
	g.t.Helper()
	st, err := g.sess.Open(wire.Kind_WORK)
	if err != nil {
		g.t.Fatal(err)
	}
	if err := st.Send(w); err != nil {
		g.t.Fatal(err)
	}
	return st
}

func collect(st *link.Stream) (r result) {
	defer func() { _ = st.Close() }()
	for {
		var m wire.Reply
		if st.Recv(&m) != nil {
			return r
		}
		switch k := m.GetKind().(type) {
		case *wire.Reply_Head:
			r.head = k.Head
		case *wire.Reply_Chunk:
			r.chunks = append(r.chunks, string(k.Chunk.GetData()))
		case *wire.Reply_End:
			r.end = k.End
			return r
		}
	}
}

func (g *fakeGate) run(w *wire.Work) result { return collect(g.open(w)) }

// chat returns a work for a chat with a number of tokens.
func chat(seq uint64, tokens int, stream bool) *wire.Work {
	body, _ := json.Marshal(map[string]any{
		"model": "auto", "max_tokens": tokens, "messages": []map[string]string{{"role": "user", "content": "how is claim 7"}},
	})
	return &wire.Work{
		Request: "r1", Attempt: 1, Customer: "coop", Model: "small", Version: "v1", Revision: 10, Incarnation: 3,
		Sequence: seq, Kind: "chat", Body: body, Timeout: 20_000, Stream: stream,
	}
}

// payout returns a work for an operation.
func payout(key string) *wire.Work {
	return &wire.Work{
		Request: "r2", Attempt: 1, Customer: "coop", Revision: 10, Incarnation: 3, Sequence: 9, Kind: "call", Route: "pay",
		Method: "POST", Path: "/payouts", Body: []byte(`{"household":"h1"}`), Operation: "coop/pay/" + key, Fence: 1,
		Timeout: 8000, Headers: []*wire.Header{{Name: "Idempotency-Key", Value: key}, {Name: "Authorization", Value: "secret"}},
	}
}

// operation and the key of it that the service gets.
const (
	operation  = "coop/pay/k1"
	serviceKey = "coop:pay:k1"
)

// book is the ledger behind the gates, with faults of the way to it.
type book struct {
	mu     sync.Mutex
	ledger *ledger.Ledger
	index  uint64
	delay  time.Duration // before the result of Hand, after the commit
	mute   bool          // no results
	aborts int
	finish []*wire.Finish
}

// newBook returns a ledger in which the operation is begun with fence 1.
func newBook() *book {
	b := &book{ledger: ledger.New()}
	b.commit(&wire.Command{Kind: &wire.Command_Enroll{Enroll: &wire.Enroll{Name: "gate-1"}}})
	b.begin()
	return b
}

func (b *book) begin() {
	b.commit(&wire.Command{Kind: &wire.Command_Begin{Begin: &wire.Begin{
		Customer: "coop", Route: "pay", Key: "k1", Incarnation: 1, Request: "r2",
	}}})
}

// hand hands the operation over to another backend server.
func (b *book) hand() {
	b.commit(&wire.Command{Kind: &wire.Command_Hand{Hand: &wire.Hand{
		Operation: operation, Fence: 1, Backend: "runner-2", Nonce: 7,
	}}})
}

func (b *book) commit(cmd *wire.Command) *wire.Result {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.index++
	cmd.Time = uint64(time.Now().UnixMilli())
	data, _ := proto.Marshal(cmd)
	var r wire.Result
	_ = proto.Unmarshal(b.ledger.Apply(b.index, data), &r)
	return &r
}

func (b *book) relay(cmd *wire.Command) *wire.Result {
	r := b.commit(cmd)
	b.mu.Lock()
	delay, mute := time.Duration(0), b.mute
	switch k := cmd.GetKind().(type) {
	case *wire.Command_Hand:
		delay = b.delay
	case *wire.Command_Finish:
		b.finish = append(b.finish, k.Finish)
	case *wire.Command_Abort:
		b.aborts++
	}
	b.mu.Unlock()
	time.Sleep(delay)
	if mute {
		return nil
	}
	return r
}

func (b *book) state() string { return b.ledger.Operations(operation, "")[0].GetPhase() }
