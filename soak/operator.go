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

	"citronledge.example/stub/users"
)

const operatorTime = 1500 * time.Millisecond // of one call

// The callers' host, their key and the one service of all configurations.
const (
	host    = "h.example"
	key     = "soak-key"
	service = "pool"
)

// operator sends configurations and reads them back.
type operator struct {
	recorder *recorder
	states   []*member
	client   *http.Client

	mu    sync.Mutex
	sent  int // highest version
	acked int // highest version that was acknowledged
	texts map[int]string
}

func newOperator(b *recorder, states []*member) *operator {
	return &operator{
		recorder: b, states: states, texts: map[int]string{},
		client: &http.Client{Timeout: operatorTime, Transport: &http.Transport{DisableKeepAlives: true}},
	}
}

// document is a configuration that allows the usual requests and those of its
// own marker.
func document(version int) string {
	route := func(name, path string, kind users.RouteKind) users.Route {
		return users.Route{Name: name, Host: host, Path: path, Kind: kind, Timeout: 4 * time.Second, Service: service, MaxAttempts: 3}
	}
	return users.Document(version, key, service, route("once", "/once/", users.UnsafeRoute), route("safe", "/safe/", users.SafeRoute),
		route("stream", "/stream/", users.StreamingRoute), route("marker", fmt.Sprintf("/m%d/", version), users.SafeRoute))
}

func (o *operator) newest() int {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.sent
}

func (o *operator) floor() int {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.acked
}

// call makes one call at a state process; status 0 stands for no answer.
func (o *operator) call(m *member, method, path, body string) (status int, text string) {
	req, err := http.NewRequest(method, "http://"+m.operators.ln.Addr().String()+path, strings.NewReader(body))
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

// next draws the next version.
func (o *operator) next(step int) (version int, text string) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.sent += step
	o.texts[o.sent] = document(o.sent)
	return o.sent, o.texts[o.sent]
}

// send sends a version to one state process and tells whether it was
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
		o.recorder.find("version %d was refused with %d: %s", version, status, answer)
	}
	return false
}

// replace sends the next version until it is acknowledged.
func (o *operator) replace(limit time.Duration) (version int, ok bool) {
	version, text := o.next(1)
	for end, i := time.Now().Add(limit), 0; time.Now().Before(end); i++ {
		if o.send(o.states[i%len(o.states)], version, text) {
			return version, true
		}
		time.Sleep(20 * time.Millisecond)
	}
	return version, false
}

// run sends configurations until ctx ends, some of them invalid.
func (o *operator) run(ctx context.Context, r *rand.Rand) {
	const tries = 6
	for ctx.Err() == nil {
		m := o.states[r.IntN(len(o.states))]
		if r.IntN(5) == 0 {
			o.invalid(m, r)
		}
		version, text := o.next(1 + r.IntN(3))
		for range 1 + r.IntN(tries) {
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

// invalid sends what must not be acknowledged, under a version that is never
// used again.
func (o *operator) invalid(m *member, r *rand.Rand) {
	version, text := o.next(1)
	o.mu.Lock()
	delete(o.texts, version)
	o.mu.Unlock()
	broken := text[:len(text)/2]
	if r.IntN(2) == 0 {
		broken = strings.Replace(text, `"service":"pool"`, `"service":"none"`, 1)
	}
	if status, _ := o.call(m, http.MethodPost, users.ReplacePath, broken); status == http.StatusOK {
		o.recorder.find("an invalid configuration was acknowledged as version %d by %s", version, m.name)
	}
}

// read reads the configuration at a state process and returns its version, or
// 0 without an answer. It may be no older than what was acknowledged before.
func (o *operator) read(m *member) int {
	floor := o.floor()
	status, text := o.call(m, http.MethodGet, users.ReadPath, "")
	if status != http.StatusOK {
		return 0
	}
	version, err := users.DocumentVersion(text)
	if err != nil {
		o.recorder.find("%s answers with a configuration that cannot be read: %v", m.name, err)
		return 0
	}
	if version < floor {
		o.recorder.find("%s answers with version %d after version %d was acknowledged", m.name, version, floor)
	}
	o.mu.Lock()
	want := o.texts[version]
	o.mu.Unlock()
	if version > 0 && !same(text, want) {
		o.recorder.find("%s answers with other content for version %d than was sent: %s", m.name, version, text)
	}
	return version
}

func same(a, b string) bool {
	var x, y any
	return json.Unmarshal([]byte(a), &x) == nil && json.Unmarshal([]byte(b), &y) == nil && reflect.DeepEqual(x, y)
}

// watch reads the configuration until ctx ends.
func (o *operator) watch(ctx context.Context, r *rand.Rand) {
	for ctx.Err() == nil {
		o.read(o.states[r.IntN(len(o.states))])
		sleep(ctx, 100*time.Millisecond)
	}
}
