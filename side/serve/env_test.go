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

// pipeListener is a listener whose connections are net.Pipes.
type pipeListener struct {
	conns chan net.Conn
	done  chan struct{}
	once  sync.Once
}

func newPipeListener() *pipeListener {
	return &pipeListener{conns: make(chan net.Conn), done: make(chan struct{})}
}

func (p *pipeListener) Accept() (net.Conn, error) {
	select {
	case c := <-p.conns:
		return c, nil
	case <-p.done:
		return nil, net.ErrClosed
	}
}

func (p *pipeListener) Close() error {
	p.once.Do(func() { close(p.done) })
	return nil
}

func (p *pipeListener) Addr() net.Addr { return &net.TCPAddr{} }

func (p *pipeListener) dial(context.Context, string, string) (net.Conn, error) {
	client, server := net.Pipe()
	select {
	case p.conns <- server:
		return client, nil
	case <-p.done:
		return nil, &net.OpError{Op: "dial", Err: errors.New("refused")}
	}
}

// testEnv is a side process with its backend server in a synctest bubble.
type testEnv struct {
	t               *testing.T
	server          *Server
	engine          *stubengine.Engine
	service         *plain.Service
	gateListener    *pipeListener // at which the side process accepts gates
	backendListener *pipeListener // at which the backend server accepts calls
	dialDelay       time.Duration
	engineDefect    atomic.Bool // whether calls to the engine panic
}

// panickingTransport panics while engineDefect is set.
type panickingTransport struct {
	http.RoundTripper
	env *testEnv
}

func (f panickingTransport) RoundTrip(r *http.Request) (*http.Response, error) {
	if f.env.engineDefect.Load() {
		panic("defect")
	}
	return f.RoundTripper.RoundTrip(r)
}

var target = ident.Target{Model: "small", Version: "v1"}

// inBubble runs a test in a synctest bubble. yamux keeps timers in a global
// pool, and a timer must not leave its bubble: two garbage collections empty
// the pool.
func inBubble(t *testing.T, test func(t *testing.T)) {
	runtime.GC()
	runtime.GC()
	synctest.Test(t, test)
}

// newTestEnv starts a side process with an engine or with a plain service.
func newTestEnv(t *testing.T, withService bool) *testEnv {
	env := &testEnv{t: t, gateListener: newPipeListener(), backendListener: newPipeListener()}
	set := Settings{Name: "runner-1", Zone: "a", Keys: testKeys}
	transport := &http.Transport{DialContext: env.dial}
	var handler http.Handler
	if withService {
		env.service = plain.New([]string{"household"})
		handler = env.service
		set.Service = caller.New("payouts", &url.URL{Scheme: "http", Host: "service"}, 0, env.dial)
	} else {
		env.engine = stubengine.New(stubengine.Settings{
			Models: []ident.Target{target, {Model: "small", Version: "v2"}, {Model: "big", Version: "v1"}},
			Slots:  4, FirstTokenDelay: 100 * time.Millisecond, TokenInterval: 50 * time.Millisecond,
		})
		handler = env.engine
		set.Engine = engine.New("http://engine", panickingTransport{transport, env})
	}
	env.server = New(set)
	srv := &http.Server{Handler: handler, ReadHeaderTimeout: time.Second}
	ctx, cancel := context.WithCancel(context.Background())
	ran := make(chan error, 2)
	go func() { ran <- srv.Serve(env.backendListener) }()
	ready := make(chan struct{})
	go func() { ran <- env.server.Run(ctx, env.gateListener, func() { close(ready) }) }()
	<-ready
	t.Cleanup(func() {
		cancel()
		_ = srv.Close()
		transport.CloseIdleConnections()
		<-ran
		<-ran
		time.Sleep(5 * time.Second) // for delayed results of the ledger
	})
	return env
}

func (env *testEnv) dial(ctx context.Context, network, addr string) (net.Conn, error) {
	time.Sleep(env.dialDelay)
	return env.backendListener.dial(ctx, network, addr)
}

// fakeGate is the gate end of a session.
type fakeGate struct {
	t       *testing.T
	sess    *link.Session
	conn    *countingConn
	control *link.Stream
	ledger  *fakeLedger

	mu      sync.Mutex
	config  *wire.Delta
	ttl     uint32
	delay   time.Duration // of grants
	loads   []*wire.Load
	renews  []*wire.Renew
	records []*wire.Record
}

// fullConfig returns a full delta with one withdrawn version and two customers.
func fullConfig(revision uint64) *wire.Delta {
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

// connectGate connects a gate whose grants have a ttl in milliseconds and are
// sent after a delay.
func (env *testEnv) connectGate(name string, ledger *fakeLedger, ttl uint32, delay time.Duration) *fakeGate {
	env.t.Helper()
	raw, err := env.gateListener.dial(context.Background(), "", "")
	if err != nil {
		env.t.Fatal(err)
	}
	conn := &countingConn{Conn: raw}
	sess, err := link.Client(conn, link.Config{Name: name, Keys: testKeys})
	if err != nil {
		env.t.Fatal(err)
	}
	g := &fakeGate{t: env.t, sess: sess, conn: conn, ledger: ledger, config: fullConfig(10), ttl: ttl, delay: delay}
	env.t.Cleanup(func() { _ = sess.Close() })
	if g.control, err = sess.Open(wire.Kind_CONTROL); err != nil {
		env.t.Fatal(err)
	}
	go g.readControl()
	go g.acceptRelays()
	synctest.Wait()
	return g
}

func (g *fakeGate) readControl() {
	for {
		var m wire.Control
		if g.control.Recv(&m) != nil {
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
			answer := func() { _ = g.control.Send(&wire.Control{Kind: &wire.Control_Grant{Grant: grant}}) }
			if g.delay > 0 {
				time.AfterFunc(g.delay, answer)
			} else {
				go answer() // a timer of 0 crashed the race runtime inside a bubble
			}
		}
		g.mu.Unlock()
	}
}

func (g *fakeGate) acceptRelays() {
	for {
		st, err := g.sess.Accept()
		if err != nil {
			return
		}
		go func() {
			defer func() { _ = st.Close() }()
			var cmd wire.Command
			if st.Recv(&cmd) == nil {
				if result := g.ledger.relay(&cmd); result != nil {
					_ = st.Send(result)
				}
			}
		}()
	}
}

func (g *fakeGate) settle(inc, seq uint64) {
	m := &wire.Settled{Billings: []*wire.Billing{{Incarnation: inc, First: seq, Last: seq}}}
	_ = g.control.Send(&wire.Control{Kind: &wire.Control_Settled{Settled: m}})
}

// recordCount returns how many records with a sequence number were received.
func (g *fakeGate) recordCount(seq uint64) int {
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

// reply is all that was received in reply to a work.
type reply struct {
	head   *wire.Head
	chunks []string
	end    *wire.End
}

func (r reply) text() string { return strings.Join(r.chunks, "") }

func (r reply) faultKind() fault.Kind { return fault.Kind(r.end.GetFault().GetKind()) }

func (g *fakeGate) sendWork(w *wire.Work) *link.Stream {
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

func collectReply(st *link.Stream) (r reply) {
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

func (g *fakeGate) run(w *wire.Work) reply { return collectReply(g.sendWork(w)) }

// chatWork returns a work for a chat that is limited to a number of tokens.
func chatWork(seq uint64, tokens int, stream bool) *wire.Work {
	body, _ := json.Marshal(map[string]any{
		"model": "auto", "max_tokens": tokens, "messages": []map[string]string{{"role": "user", "content": "how is claim 7"}},
	})
	return &wire.Work{
		Request: "r1", Attempt: 1, Customer: "coop", Model: "small", Version: "v1", Revision: 10, Incarnation: 3,
		Sequence: seq, Kind: "chat", Body: body, Timeout: 20_000, Stream: stream,
	}
}

// payoutWork returns a work for an operation.
func payoutWork(key string) *wire.Work {
	return &wire.Work{
		Request: "r2", Attempt: 1, Customer: "coop", Revision: 10, Incarnation: 3, Sequence: 9, Kind: "call", Route: "pay",
		Method: "POST", Path: "/payouts", Body: []byte(`{"household":"h1"}`), Operation: "coop/pay/" + key, Fence: 1,
		Timeout: 8000, Headers: []*wire.Header{{Name: "Idempotency-Key", Value: key}, {Name: "Authorization", Value: "secret"}},
	}
}

// operation is the operation that the fake ledger has begun, serviceKey the
// idempotency key that the service gets for it.
const (
	operation  = "coop/pay/k1"
	serviceKey = "coop:pay:k1"
)

// fakeLedger is the ledger that the gates reach, with faults on the path to it.
type fakeLedger struct {
	mu          sync.Mutex
	ledger      *ledger.Ledger
	index       uint64
	handDelay   time.Duration // before the result of Hand, after the commit
	dropResults bool          // whether commands get no result
	aborts      int
	finishes    []*wire.Finish
}

// newFakeLedger returns a ledger in which the operation is begun with fence 1.
func newFakeLedger() *fakeLedger {
	b := &fakeLedger{ledger: ledger.New()}
	b.commit(&wire.Command{Kind: &wire.Command_Enroll{Enroll: &wire.Enroll{Name: "gate-1"}}})
	b.begin()
	return b
}

func (b *fakeLedger) begin() {
	b.commit(&wire.Command{Kind: &wire.Command_Begin{Begin: &wire.Begin{
		Customer: "coop", Route: "pay", Key: "k1", Incarnation: 1, Request: "r2",
	}}})
}

// handElsewhere assigns the operation to another backend server.
func (b *fakeLedger) handElsewhere() {
	b.commit(&wire.Command{Kind: &wire.Command_Hand{Hand: &wire.Hand{
		Operation: operation, Fence: 1, Backend: "runner-2", Nonce: 7,
	}}})
}

func (b *fakeLedger) commit(cmd *wire.Command) *wire.Result {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.index++
	cmd.Time = uint64(time.Now().UnixMilli())
	data, _ := proto.Marshal(cmd)
	var r wire.Result
	_ = proto.Unmarshal(b.ledger.Apply(b.index, data), &r)
	return &r
}

func (b *fakeLedger) relay(cmd *wire.Command) *wire.Result {
	r := b.commit(cmd)
	b.mu.Lock()
	delay, drop := time.Duration(0), b.dropResults
	switch k := cmd.GetKind().(type) {
	case *wire.Command_Hand:
		delay = b.handDelay
	case *wire.Command_Finish:
		b.finishes = append(b.finishes, k.Finish)
	case *wire.Command_Abort:
		b.aborts++
	}
	b.mu.Unlock()
	time.Sleep(delay)
	if drop {
		return nil
	}
	return r
}

func (b *fakeLedger) phase() string { return b.ledger.Operations(operation, "")[0].GetPhase() }
