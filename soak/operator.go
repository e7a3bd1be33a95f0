package soak

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"reflect"
	"strings"
	"sync"
	"time"

	"citronledge.example/core/reply"
	"citronledge.example/stub/users"
)

const operatorTimeout = 1500 * time.Millisecond // per call

// Host and API key of all callers, and the only service of all configurations.
const (
	host    = "h.example"
	key     = "soak-key"
	service = "pool"
)

// operator sends configurations to the state processes and reads them back.
type operator struct {
	recorder *recorder
	states   []*member
	client   *http.Client

	mu        sync.Mutex
	sent      int            // highest version
	acked     int            // highest version that was acknowledged
	documents map[int]string // valid documents sent, by version
}

func newOperator(rec *recorder, states []*member) *operator {
	return &operator{
		recorder: rec, states: states, documents: map[int]string{},
		client: &http.Client{Timeout: operatorTimeout, Transport: reply.NewTransport(&http.Transport{DisableKeepAlives: true})},
	}
}

// document returns a configuration that allows the requests of all callers, and
// those to the markerPath of its own version.
func document(version int) string {
	route := func(name, path string, kind users.RouteKind) users.Route {
		return users.Route{Name: name, Host: host, Path: path, Kind: kind, Timeout: 4 * time.Second, Service: service, MaxAttempts: 3}
	}
	return users.Document(version, key, service, route("once", "/once/", users.UnsafeRoute), route("safe", "/safe/", users.SafeRoute),
		route("stream", "/stream/", users.StreamingRoute), route("marker", fmt.Sprintf("/m%d/", version), users.SafeRoute))
}

func (o *operator) newestSent() int {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.sent
}

func (o *operator) newestAcked() int {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.acked
}

// call makes one call to a state process; status 0 means no answer.
func (o *operator) call(m *member, method, path, body string) (status int, text string) {
	req, err := http.NewRequest(method, "http://"+m.operatorProxy.ln.Addr().String()+path, strings.NewReader(body))
	if err != nil {
		return 0, err.Error()
	}
	resp, err := o.client.Do(req)
	if err != nil {
		return 0, err.Error()
	}
	defer func() { _ = resp.Body.Close() }()
	data, err := io.ReadAll(resp.Body)
	if err != nil {
		return 0, err.Error()
	}
	return resp.StatusCode, string(data)
}

// nextVersion creates the next document, whose version is higher by step.
func (o *operator) nextVersion(step int) (version int, text string) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.sent += step
	o.documents[o.sent] = document(o.sent)
	return o.sent, o.documents[o.sent]
}

// send sends a version to one state process and reports whether it was
// acknowledged.
func (o *operator) send(m *member, version int, text string) bool {
	status, answer := o.call(m, http.MethodPost, users.ReplacePath, text)
	switch {
	case status == http.StatusOK:
		o.mu.Lock()
		defer o.mu.Unlock()
		o.acked = max(o.acked, version)
		return true
	case status >= 400 && status < 500:
		o.recorder.addFinding("version %d was refused with %d: %s", version, status, answer)
	}
	return false
}

// replaceUntilAcked creates the next version and sends it, to one state process
// after the other, until it is acknowledged or limit has passed.
func (o *operator) replaceUntilAcked(limit time.Duration) (version int, ok bool) {
	version, text := o.nextVersion(1)
	for end, i := time.Now().Add(limit), 0; time.Now().Before(end); i++ {
		if o.send(o.states[i%len(o.states)], version, text) {
			return version, true
		}
		time.Sleep(20 * time.Millisecond)
	}
	return version, false
}

// run sends configurations, some of them invalid, until ctx ends.
func (o *operator) run(ctx context.Context, r *rand.Rand) {
	const maxAttempts = 6
	for ctx.Err() == nil {
		m := o.states[r.IntN(len(o.states))]
		if r.IntN(5) == 0 {
			o.sendInvalid(m, r)
		}
		version, text := o.nextVersion(1 + r.IntN(3))
		for range 1 + r.IntN(maxAttempts) {
			if o.send(m, version, text) {
				o.recorder.count("configurations acknowledged")
				break
			}
			m = o.states[r.IntN(len(o.states))]
			sleep(ctx, 50*time.Millisecond)
		}
		sleep(ctx, time.Duration(50+r.IntN(600))*time.Millisecond)
	}
}

// sendInvalid sends an invalid configuration, which must not be acknowledged,
// under a version that is never used again.
func (o *operator) sendInvalid(m *member, r *rand.Rand) {
	version, text := o.nextVersion(1)
	o.mu.Lock()
	delete(o.documents, version)
	o.mu.Unlock()
	invalid := text[:len(text)/2]
	if r.IntN(2) == 0 {
		invalid = strings.Replace(text, `"service":"pool"`, `"service":"none"`, 1)
	}
	if status, _ := o.call(m, http.MethodPost, users.ReplacePath, invalid); status == http.StatusOK {
		o.recorder.addFinding("an invalid configuration was acknowledged as version %d by %s", version, m.name)
	}
}

// readVersion reads the configuration from a state process and returns its
// version, or 0 without an answer. The version must not be older than any that
// was acknowledged before the call.
func (o *operator) readVersion(m *member) int {
	acked := o.newestAcked()
	status, text := o.call(m, http.MethodGet, users.ReadPath, "")
	if status != http.StatusOK {
		return 0
	}
	version, err := users.DocumentVersion(text)
	if err != nil {
		o.recorder.addFinding("%s answers with a configuration that cannot be read: %v", m.name, err)
		return 0
	}
	if version < acked {
		o.recorder.addFinding("%s answers with version %d after version %d was acknowledged", m.name, version, acked)
	}
	o.mu.Lock()
	want := o.documents[version]
	o.mu.Unlock()
	if version > 0 && !sameJSON(text, want) {
		o.recorder.addFinding("%s answers with other content for version %d than was sent: %s", m.name, version, text)
	}
	return version
}

func sameJSON(a, b string) bool {
	var x, y any
	return json.Unmarshal([]byte(a), &x) == nil && json.Unmarshal([]byte(b), &y) == nil && reflect.DeepEqual(x, y)
}

// pollVersions reads the configuration from random state processes until ctx
// ends.
func (o *operator) pollVersions(ctx context.Context, r *rand.Rand) {
	for ctx.Err() == nil {
		o.readVersion(o.states[r.IntN(len(o.states))])
		sleep(ctx, 100*time.Millisecond)
	}
}
