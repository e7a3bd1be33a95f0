// Package front implements the HTTP API of a gate: chat completions, the list of
// models, and the paths of plain services.
package front

import (
	"context"
	"crypto/rand"
	"encoding/hex"
	"encoding/json"
	"errors"
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
	"citronledge.example/core/intake"
	"citronledge.example/core/wire"
	"citronledge.example/gate/route"
)

const (
	bodyReadTimeout = 30 * time.Second // for the body of a request
	writeTimeout    = 30 * time.Second // for one write to a caller that reads slowly
	maxNameBytes    = 256              // bytes of a session id or idempotency key
)

// State is the part of the state cluster's client that a Front uses.
type State interface {
	// View returns the configuration in force at this gate.
	View() *conf.View
	// LeaseValidAt reports whether the lease allows new work at the given time.
	LeaseValidAt(now time.Time) bool
}

// Router answers requests; it is a *route.Router outside tests.
type Router interface {
	Serve(ctx context.Context, req *route.Request, caller route.Caller) error
}

// Front is the handler of the caller API.
type Front struct {
	state        State
	router       Router
	mux          *httprouter.Router
	budget       *intake.Budget
	idPrefix     string
	requestCount atomic.Uint64
}

// Option configures a Front.
type Option func(*Front)

// WithClient sets the client of the state cluster.
func WithClient(s State) Option { return func(f *Front) { f.state = s } }

// WithRouter sets the router that answers requests.
func WithRouter(r Router) Option { return func(f *Front) { f.router = r } }

// WithBudget sets the budget of the bytes held for callers.
func WithBudget(b *intake.Budget) Option { return func(f *Front) { f.budget = b } }

// WithIDPrefix sets the prefix of all request ids. It must be unique among all
// gates and their restarts; the default is random.
func WithIDPrefix(prefix string) Option { return func(f *Front) { f.idPrefix = prefix } }

// New returns the handler of the caller API.
func New(opts ...Option) *Front {
	var random [6]byte
	_, _ = rand.Read(random[:]) // never fails
	f := &Front{idPrefix: hex.EncodeToString(random[:]) + "-", mux: httprouter.New(), budget: intake.BudgetFor(0)}
	for _, opt := range opts {
		opt(f)
	}
	f.mux.RedirectTrailingSlash = false
	f.mux.RedirectFixedPath = false
	f.mux.HandleMethodNotAllowed = false
	f.mux.HandleOPTIONS = false
	f.mux.HandlerFunc(http.MethodPost, "/v1/chat/completions", f.handler(f.chat))
	f.mux.HandlerFunc(http.MethodGet, "/v1/models", f.handler(f.listModels))
	f.mux.NotFound = f.handler(f.callService)
	return f
}

// ServeHTTP implements http.Handler.
func (f *Front) ServeHTTP(w http.ResponseWriter, r *http.Request) { f.mux.ServeHTTP(w, r) }

// apiRequest is one HTTP request with the view under which it is handled.
type apiRequest struct {
	w        http.ResponseWriter
	r        *http.Request
	view     *conf.View
	customer ident.Customer
	id       ident.Request
	budget   *intake.Budget
	hold     *intake.Hold // of the body; nil without one
}

func (f *Front) handler(handle func(x *apiRequest) error) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		x := &apiRequest{w: w, r: r, view: f.state.View(), budget: f.budget}
		// A request id sent by the caller is not used: replies are matched by the
		// id, and the caller's may not be unique.
		x.id = ident.Request(f.idPrefix + strconv.FormatUint(f.requestCount.Add(1), 36))
		w.Header().Set("X-Request-Id", string(x.id))
		err := x.authenticate(f.state.LeaseValidAt(time.Now()))
		if err == nil {
			defer func() { x.hold.Close() }()
			err = handle(x)
		}
		x.writeError(err)
	}
}

// authenticate sets the customer from the request's key. Without a lease the
// configuration may be stale or empty, so an unknown key is no proof of an
// invalid one.
func (x *apiRequest) authenticate(leased bool) error {
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

// writeError answers with an error. If a part of the answer has been written, it
// aborts the connection, the only way left to signal the failure.
func (x *apiRequest) writeError(err error) {
	if err == nil {
		return
	}
	if errors.Is(err, route.ErrTruncated) || errors.Is(err, context.Canceled) {
		intake.Abort(x.w, x.r)
	}
	failure := &route.Failure{}
	if !errors.As(err, &failure) {
		f := fault.From(err)
		failure = &route.Failure{Fault: f, MayHaveRun: !f.Kind.GuaranteesNotRun()}
	}
	writeFailure(x.w, failure)
}

func writeFailure(w http.ResponseWriter, f *route.Failure) {
	intake.EndRefused(w)
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
	// An error means that the caller is gone.
	_ = json.NewEncoder(w).Encode(object)
}

// readBody reads the body, up to the configured limit of its size.
func (x *apiRequest) readBody() ([]byte, error) {
	limit := int64(x.view.Limits.MaxBodyBytes)
	hold, data, err := x.budget.ReadBody(x.w, x.r, limit, time.Now().Add(bodyReadTimeout))
	x.hold = hold
	switch {
	case errors.Is(err, intake.ErrTooLarge):
		return nil, fault.New(fault.TooLarge, "the body is over the limit of "+strconv.FormatInt(limit, 10)+" bytes; send a shorter one")
	case errors.Is(err, intake.ErrNoRoom):
		x.w.Header().Set("Connection", "close")
		return nil, fault.New(fault.Unavailable, "this gate has no memory for the body now; send it again").WithRetryAfter(time.Second)
	case err != nil:
		x.w.Header().Set("Connection", "close")
		return nil, fault.New(fault.Invalid, "the body could not be read; send it again within "+bodyReadTimeout.String())
	}
	return data, nil
}

func checkLength(name, value string) error {
	if len(value) > maxNameBytes {
		return fault.New(fault.Invalid, name+" is longer than "+strconv.Itoa(maxNameBytes)+" bytes; use a shorter one")
	}
	return nil
}

type chatBody struct {
	Model               string       `json:"model"`
	Stream              bool         `json:"stream"`
	User                string       `json:"user"`
	MaxTokens           ident.Tokens `json:"max_tokens"`
	MaxCompletionTokens ident.Tokens `json:"max_completion_tokens"`
}

func (f *Front) chat(x *apiRequest) error {
	data, err := x.readBody()
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
	if err := checkLength("the session id", session); err != nil {
		return err
	}
	req := &route.Request{
		ID: x.id, Customer: x.customer, Kind: x.workKind(body), Target: target, Session: ident.Session(session),
		Stream: body.Stream, Method: http.MethodPost, Path: "/v1/chat/completions", Body: data,
		Headers: []*wire.Header{{Name: "Content-Type", Value: "application/json"}},
	}
	return f.router.Serve(x.r.Context(), req, &responseWriter{x: x, stream: body.Stream})
}

func (x *apiRequest) workKind(body chatBody) ident.Kind {
	if max(body.MaxTokens, body.MaxCompletionTokens) >= x.view.Limits.ReportMinTokens || x.r.Header.Get("X-Work-Kind") == ident.Report.String() {
		return ident.Report
	}
	return ident.Chat
}

type modelEntry struct {
	ID      string `json:"id"`
	Object  string `json:"object"`
	OwnedBy string `json:"owned_by"`
}

// listModels lists the models that the customer may use now.
func (f *Front) listModels(x *apiRequest) error {
	list := []modelEntry{}
	add := func(id string) { list = append(list, modelEntry{ID: id, Object: "model", OwnedBy: "citronledge"}) }
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

// callService handles a request to a plain service.
func (f *Front) callService(x *apiRequest) error {
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
	if err := checkLength("the idempotency key", key); err != nil {
		return err
	}
	data, err := x.readBody()
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
		Method:  x.r.Method, Path: full, Headers: serviceHeaders(x.r.Header), Body: data,
	}
	return f.router.Serve(x.r.Context(), req, &responseWriter{x: x})
}
