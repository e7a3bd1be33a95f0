// Command gate is the entry process on a VM that accepts the requests of callers
// and routes them to the side processes beside the backend servers.
package main

import (
	"context"
	"crypto/tls"
	"encoding/json"
	"errors"
	"flag"
	"fmt"
	"net/http"
	"net/url"
	"os"
	"strings"
	"time"

	"github.com/julienschmidt/httprouter"
	"github.com/rotisserie/eris"

	"citronledge.example/core/client"
	"citronledge.example/core/fault"
	"citronledge.example/core/ident"
	"citronledge.example/core/intake"
	"citronledge.example/core/link"
	"citronledge.example/core/server"
	"citronledge.example/core/wire"
	"citronledge.example/gate/bill"
	"citronledge.example/gate/front"
	"citronledge.example/gate/pool"
	"citronledge.example/gate/route"
)

type settings struct {
	server.Settings
	listen     string
	state      string
	cert       string
	key        string
	ratings    string
	links      int
	onPlatform bool
	node       *platformNode // set on the users' platform
}

func main() { os.Exit(server.Main("gate", os.Args[1:], &settings{})) }

// Register implements server.Program.
func (s *settings) Register(fs *flag.FlagSet) {
	s.Settings.Register(fs)
	fs.StringVar(&s.listen, "listen", "", "address for callers")
	fs.StringVar(&s.state, "state", "", "addresses of the state processes, HOST:PORT,...")
	fs.StringVar(&s.cert, "cert", "", "TLS certificate file for callers; empty for plain HTTP")
	fs.StringVar(&s.key, "key", "", "TLS key file for callers")
	fs.BoolVar(&s.onPlatform, "platform", false, "take name, zone, addresses and limits from the users' platform and serve its callers")
	fs.IntVar(&s.links, "links", pool.DefaultLinkCount, "links to side processes for each model version or service")
	fs.StringVar(&s.ratings, "ratings", "", "URL of the rating service; empty if there is none")
}

func (s *settings) addresses() []string {
	var list []string
	for addr := range strings.SplitSeq(s.state, ",") {
		if addr = strings.TrimSpace(addr); addr != "" {
			list = append(list, addr)
		}
	}
	return list
}

// Validate implements server.Program.
func (s *settings) Validate() error {
	if s.onPlatform {
		if err := s.applyNode(); err != nil {
			return err
		}
		return s.Settings.Validate()
	}
	errs := []error{s.Settings.Validate(), server.CheckAddr("listen", s.listen)}
	if len(s.addresses()) == 0 {
		errs = append(errs, errors.New("--state is empty; set the addresses of the state processes, separated by commas"))
	}
	for _, addr := range s.addresses() {
		errs = append(errs, server.CheckAddr("state", addr))
	}
	if s.links < 2 {
		errs = append(errs, fmt.Errorf("--links: %d is too few to choose from; set 2 or more", s.links))
	}
	switch {
	case (s.cert == "") != (s.key == ""):
		errs = append(errs, errors.New("--cert and --key belong together; set both or none"))
	case s.cert != "":
		if _, err := tls.LoadX509KeyPair(s.cert, s.key); err != nil {
			errs = append(errs, fmt.Errorf("--cert, --key: %w; set them to a matching pair of PEM files", err))
		}
	}
	if u, err := url.Parse(s.ratings); s.ratings != "" && (err != nil || u.Host == "") {
		errs = append(errs, fmt.Errorf("--ratings: %q is not a URL; use http://HOST:PORT/PATH", s.ratings))
	}
	return errors.Join(errs...)
}

// gate holds the components that refer to each other.
type gate struct {
	client *client.Client
	pool   *pool.Pool
	book   *bill.Book
	router *route.Router
}

// leaseGrace is how long a gate stays ready without a lease. A change of the
// leader takes less time, and other gates have no lease during it either.
const leaseGrace = 2 * time.Second

// Serve implements server.Program.
func (s *settings) Serve(ctx context.Context) error {
	if s.onPlatform {
		return s.serveOnPlatform(ctx)
	}
	keys, err := link.LoadKeys(s.KeyFile)
	if err != nil {
		return err
	}
	g := &gate{}
	frame := server.New(s.Settings, g.status)
	if err := g.build(s, link.Config{Name: s.Name, Keys: keys}, frame); err != nil {
		return err
	}
	defer func() { _ = g.client.Close() }()
	frame.AddReadinessCheck("lease", func() bool { return g.client.LeaseValidAt(time.Now().Add(-leaseGrace)) })
	frame.AddPage("/decisions/:id", http.HandlerFunc(g.decision))
	budget := intake.BudgetFor(0)
	return frame.Run(ctx, front.NewGate(front.GateConfig{
		Listen: s.listen, Cert: s.cert, Key: s.key, Budget: budget,
		Handler: front.New(front.WithClient(g.client), front.WithRouter(g.router), front.WithBudget(budget)),
		Tasks: map[string]func(context.Context) error{
			"lease": g.client.HoldLease, "links": g.pool.Run, "bills": g.book.Run, "queues": g.router.Run,
		},
		Router: g.router, Book: g.book, State: g.client,
	}))
}

func (g *gate) build(s *settings, cfg link.Config, frame *server.Server) error {
	var err error
	subleases := pool.NewSubleases()
	g.client, err = client.New(
		client.WithAddresses(s.addresses()...), client.WithLink(cfg), client.WithZone(ident.Zone(s.Zone)),
		client.WithSubleases(subleases),
		client.WithTallies(func() []*wire.Tally { return g.router.Tallies() }),
		client.WithLastSequence(func(inc ident.Incarnation) ident.Sequence { return g.book.LastSequence(inc) }),
	)
	if err != nil {
		return eris.Wrap(err, "--name or --state")
	}
	g.book = bill.New(bill.Actor(s.Name), bill.Client(g.client), bill.Metrics(frame.Registry),
		bill.OnCommitted(func(id ident.Backend, list []*wire.Billing) { g.pool.NotifySettled(id, list) }))
	g.pool = pool.New(pool.WithName(s.Name, ident.Zone(s.Zone)), pool.WithClient(g.client), pool.WithLinkConfig(cfg), pool.WithSubleases(subleases), pool.WithLinkCount(s.links),
		pool.WithRecordCommitter(g.book.CommitRecords), pool.WithMetrics(frame.Registry))
	opts := []route.Option{
		route.Actor(s.Name), route.Client(g.client), route.Pool(g.pool), route.Book(g.book), route.Metrics(frame.Registry),
	}
	if s.ratings != "" {
		opts = append(opts, route.RatingService(route.NewHTTPRater(s.ratings)))
	}
	g.router = route.New(opts...)
	return nil
}

// recentRecords is the number of decision records on the status page.
const recentRecords = 20

func (g *gate) status() any {
	return map[string]any{
		"incarnation": g.client.Incarnation(),
		"revision":    g.client.View().Revision,
		"lease":       g.client.LeaseExpiry(),
		"running":     len(g.router.Running()),
		"waiting":     g.router.Queued(),
		"bills":       g.book.Uncommitted(),
		"links":       g.pool.Status(),
		"decisions":   g.router.RecentRecords(recentRecords),
	}
}

// decision serves the decision record of one request.
func (g *gate) decision(w http.ResponseWriter, r *http.Request) {
	id := httprouter.ParamsFromContext(r.Context()).ByName("id")
	rec, ok := g.router.FindRecord(ident.Request(id))
	if !ok {
		fault.New(fault.Missing, "no decision record of "+id+" here; it may be another gate's or no longer among the newest").WriteResponse(w)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	// An error means that the client is gone.
	_ = json.NewEncoder(w).Encode(rec)
}
