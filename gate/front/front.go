// Package front is the HTTP API of a gate: chat completions, the list of
// models, and the paths of plain services.
package front

import (
	"context"
	"crypto/rand"
	"encoding/hex"
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"path"
	"slices"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"github.com/julienschmidt/httprouter"

	"citronledge.example/core/conf"
	"citronledge.example/core/fault"
	"citronledge.example/core/ident"
	"citronledge.example/core/wire"
	"citronledge.example/gate/route"
)

const (
	bodyTime  = 30 * time.Second // to read the body of a request
	writeTime = 30 * time.Second // for one write to a caller that reads slowly
	maxName   = 256              // bytes of a session id or idempotency key
)

// State is what a Front needs of the client of the state cluster.
type State interface {
	// View returns the configuration in force at this gate.
	View() *conf.View
	// LeaseValidAt tells whether the lease allows new work now.
	LeaseValidAt(now time.Time) bool
}

// Router answers requests; it is a *route.Router outside tests.
type Router interface {
	Serve(ctx context.Context, req *route.Request, caller route.Caller) error
}

// Front is the handler of the caller API.
type Front struct {
	state  State
	router Router
	mux    *httprouter.Router
	prefix string
	count  atomic.Uint64
}

// Option sets up a Front.
type Option func(*Front)

// WithClient sets the client of the state cluster.
func WithClient(s State) Option { return func(f *Front) { f.state = s } }

// WithRouter sets what answers requests.
func WithRouter(r Router) Option { return func(f *Front) { f.router = r } }

// WithIDPrefix sets the start of all request ids, which must be unique among all
// gates and their restarts; the default is random.
func WithIDPrefix(prefix string) Option { return func(f *Front) { f.prefix = prefix } }

// New returns the handler of the caller API.
func New(opts ...Option) *Front {
	var random [6]byte
	_, _ = rand.Read(random[:]) // never fails
	f := &Front{prefix: hex.EncodeToString(random[:]) + "-", mux: httprouter.New()}
	for _, opt := range opts {
		opt(f)
	}
	f.mux.RedirectTrailingSlash = false
	f.mux.RedirectFixedPath = false
	f.mux.HandleMethodNotAllowed = false
	f.mux.HandleOPTIONS = false
	f.mux.HandlerFunc(http.MethodPost, "/v1/chat/completions", f.serve(f.chat))
	f.mux.HandlerFunc(http.MethodGet, "/v1/models", f.serve(f.models))
	f.mux.NotFound = f.serve(f.call)
	return f
}

// ServeHTTP implements http.Handler.
func (f *Front) ServeHTTP(w http.ResponseWriter, r *http.Request) { f.mux.ServeHTTP(w, r) }

// exchange is one HTTP request with what the front knows of it.
type exchange struct {
	w        http.ResponseWriter
	r        *http.Request
	view     *conf.View
	customer ident.Customer
	id       ident.Request
}

func (f *Front) serve(handle func(x *exchange) error) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		x := &exchange{w: w, r: r, view: f.state.View()}
		// The id of the caller is not used: it need not be unique, and replies
		// are matched by it.
		x.id = ident.Request(f.prefix + strconv.FormatUint(f.count.Add(1), 36))
		w.Header().Set("X-Request-Id", string(x.id))
		err := x.authenticate(f.state.LeaseValidAt(time.Now()))
		if err == nil {
			err = handle(x)
		}
		x.fail(err)
	}
}

// authenticate finds the customer. Without a lease the configuration may be
// old or empty, so an unknown key proves nothing.
func (x *exchange) authenticate(leased bool) error {
	scheme, key, _ := strings.Cut(x.r.Header.Get("Authorization"), " ")
	if !strings.EqualFold(scheme, "Bearer") || key == "" {
		return fault.New(fault.Unauthorized, "the request has no key; send the header Authorization: Bearer KEY")
	}
	customer, ok := x.view.Authenticate(strings.TrimSpace(key))
	if !ok && !leased {
		return fault.New(fault.NoLease, "this gate has no contact with the state cluster; send the request again to reach another gate").WithRetryAfter(time.Second)
	}
	if !ok {
		return fault.New(fault.Unauthorized, "the key is not known; ask the operators for a valid key")
	}
	x.customer = customer
	return nil
}

// fail tells the caller of an error. When a part of the answer was written,
// only a broken connection can tell.
func (x *exchange) fail(err error) {
	if err == nil {
		return
	}
	if errors.Is(err, route.ErrTruncated) || errors.Is(err, context.Canceled) {
		panic(http.ErrAbortHandler)
	}
	failure := &route.Failure{}
	if !errors.As(err, &failure) {
		f := fault.From(err)
		failure = &route.Failure{Fault: f, MayHaveRun: !f.Kind.GuaranteesNotRun()}
	}
	write(x.w, failure)
}

func write(w http.ResponseWriter, f *route.Failure) {
	object := f.Object()
	object.Error.Ran = "no"
	if f.MayHaveRun {
		object.Error.Ran = "unknown"
	}
	w.Header().Set("Content-Type", "application/json")
	if f.RetryAfter > 0 {
		seconds := int((f.RetryAfter + time.Second - 1) / time.Second)
		w.Header().Set("Retry-After", strconv.Itoa(seconds))
	}
	w.WriteHeader(f.Kind.HTTPStatus())
	// The caller may be gone; there is nobody left to tell.
	_ = json.NewEncoder(w).Encode(object)
}

// body reads the body within the limit of the configuration.
func (x *exchange) body() ([]byte, error) {
	limit := int64(x.view.Limits.MaxBodyBytes)
	rc := http.NewResponseController(x.w)
	_ = rc.SetReadDeadline(time.Now().Add(bodyTime)) // not supported in tests
	defer func() { _ = rc.SetReadDeadline(time.Time{}) }()
	var data []byte
	var err error
	reader := http.MaxBytesReader(x.w, x.r.Body, limit)
	if n := x.r.ContentLength; n > 0 && n <= limit {
		data = make([]byte, n)
		_, err = io.ReadFull(reader, data)
	} else {
		data, err = io.ReadAll(reader)
	}
	var large *http.MaxBytesError
	switch {
	case errors.As(err, &large):
		return nil, fault.New(fault.TooLarge, "the body is over the limit of "+strconv.FormatInt(limit, 10)+" bytes; send a shorter one")
	case err != nil:
		return nil, fault.New(fault.Invalid, "the body could not be read; send it again within "+bodyTime.String())
	}
	return data, nil
}

func short(name, value string) error {
	if len(value) > maxName {
		return fault.New(fault.Invalid, name+" is longer than "+strconv.Itoa(maxName)+" bytes; use a shorter one")
	}
	return nil
}

type chatBody struct {
	Model     string       `json:"model"`
	Stream    bool         `json:"stream"`
	User      string       `json:"user"`
	Tokens    ident.Tokens `json:"max_tokens"`
	NewTokens ident.Tokens `json:"max_completion_tokens"`
}

func (f *Front) chat(x *exchange) error {
	data, err := x.body()
	if err != nil {
		return err
	}
	var body chatBody
	if err := json.Unmarshal(data, &body); err != nil {
		return fault.New(fault.Invalid, "the body is not a chat completion request; send a JSON object with model and messages")
	}
	target, err := ident.ParseTarget(body.Model)
	if err != nil {
		return fault.New(fault.Invalid, "the field model is empty or malformed; GET /v1/models lists the models")
	}
	if _, ok := x.view.Models[target.Model]; !ok && target.Model != conf.AutoModel {
		return fault.New(fault.Missing, "model "+target.String()+" does not exist; GET /v1/models lists the models")
	}
	session := x.r.Header.Get("X-Session-Id")
	if session == "" {
		session = body.User
	}
	if err := short("the session id", session); err != nil {
		return err
	}
	req := &route.Request{
		ID: x.id, Customer: x.customer, Kind: x.kind(body), Target: target, Session: ident.Session(session),
		Stream: body.Stream, Method: http.MethodPost, Path: "/v1/chat/completions", Body: data,
		Headers: []*wire.Header{{Name: "Content-Type", Value: "application/json"}},
	}
	return f.router.Serve(x.r.Context(), req, &caller{x: x, stream: body.Stream})
}

func (x *exchange) kind(body chatBody) ident.Kind {
	if max(body.Tokens, body.NewTokens) >= x.view.Limits.ReportMinTokens || x.r.Header.Get("X-Work-Kind") == ident.Report.String() {
		return ident.Report
	}
	return ident.Chat
}

type modelEntry struct {
	ID     string `json:"id"`
	Object string `json:"object"`
	Owner  string `json:"owned_by"`
}

// models lists the models that the customer may use now.
func (f *Front) models(x *exchange) error {
	list := []modelEntry{}
	add := func(id string) { list = append(list, modelEntry{ID: id, Object: "model", Owner: "citronledge"}) }
	names := make([]string, 0, len(x.view.Models))
	for name := range x.view.Models {
		names = append(names, string(name))
	}
	slices.Sort(names)
	for _, name := range names {
		versions := x.view.AllowedVersions(x.customer, ident.Model(name))
		if len(versions) == 0 {
			continue
		}
		add(name)
		for _, v := range versions {
			add(ident.Target{Model: ident.Model(name), Version: v}.String())
		}
	}
	if _, ok := x.view.Cascades[x.view.Customers[x.customer].Cascade]; ok {
		add(string(conf.AutoModel))
	}
	x.w.Header().Set("Content-Type", "application/json")
	return json.NewEncoder(x.w).Encode(map[string]any{"object": "list", "data": list})
}

// call passes a request to a plain service.
func (f *Front) call(x *exchange) error {
	p := x.r.URL.Path
	if clean := path.Clean(p); p != clean && p != clean+"/" {
		return fault.New(fault.Invalid, "the path has empty, . or .. parts; send it without them")
	}
	name, ok := x.view.MatchRoute(x.r.Method, p)
	if !ok {
		return fault.New(fault.Missing, "no route for "+x.r.Method+" "+p+"; check the method and path, or ask the operators for a route")
	}
	if !x.view.MayCall(x.customer, name) {
		return fault.New(fault.Forbidden, "route "+string(name)+" is not open to this customer; ask the operators for it")
	}
	key := x.r.Header.Get("Idempotency-Key")
	if key == "" && !x.view.Routes[name].Repeatable {
		return fault.New(fault.Invalid, "route "+string(name)+" runs calls at most once; send the header Idempotency-Key with a new value for each new call")
	}
	if err := short("the idempotency key", key); err != nil {
		return err
	}
	data, err := x.body()
	if err != nil {
		return err
	}
	full := x.r.URL.EscapedPath()
	if x.r.URL.RawQuery != "" {
		full += "?" + x.r.URL.RawQuery
	}
	req := &route.Request{
		ID: x.id, Customer: x.customer, Kind: ident.Call, Route: name, Key: key,
		Session: ident.Session(x.r.Header.Get("X-Session-Id")),
		Method:  x.r.Method, Path: full, Headers: forward(x.r.Header), Body: data,
	}
	return f.router.Serve(x.r.Context(), req, &caller{x: x})
}
