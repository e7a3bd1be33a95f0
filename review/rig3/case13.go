package main

import (
	"bufio"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// deadlyBody is the body of the request that crashes each runner that begins to run
	// it.
	deadlyBody = "a statement that crashes the application"
	// deadlyInterval is the pause between two of its repeats, and plainInterval that
	// between two sound requests.
	deadlyInterval = time.Second
	plainInterval  = 100 * time.Millisecond
	plainDeadline  = time.Second
	// maxRetries is how many retries may reach runners after the third crash and
	// contact-ms.
	maxRetries = 3
	// retryTime is how long retries are counted, and thirdCrashTime limits the wait for
	// the third crash.
	retryTime      = 25 * time.Second
	thirdCrashTime = 20 * time.Second
)

const plainConfig = `{"version":1,"routes":[{"name":"r-status","host":"desk.example","path-prefix":"/status/","type":"safe","timeout-ms":1000,"target-latency-ms":100,"priority":1,"service":"desk","max-attempts":2,"public":false},{"name":"r-send","host":"desk.example","path-prefix":"/send/","type":"unsafe","timeout-ms":1000,"target-latency-ms":300,"priority":1,"service":"desk","max-attempts":1,"public":false}],"services":[{"name":"desk","health-path":"/healthz","max-connections":130,"protocol":"h1","tls":false}],"limits":{"max-header-bytes":16384,"max-body-bytes":4194304,"header-timeout-ms":3000,"idle-timeout-ms":15000},"tenants":[{"name":"t1","api-keys":["k1k1k1k1k1"],"priority":1}]}`

// crashWhileAnswering sends one request again and again, with the same path, caller
// and body. It crashes each runner that runs it, after a part of the answer is
// written. Sound requests, which may run once, come to the same service.
func crashWhileAnswering(r *rig) (bool, error) {
	points := map[string]crashPoint{"": afterPart, "part": afterPart, "before": beforeHead}
	point, ok := points[os.Getenv("CRASH")]
	if !ok {
		return false, fmt.Errorf("CRASH is part or before")
	}
	zones := []string{"kolkata-a", "howrah-b", "salt-lake-c"}
	var machines []*machine
	for i, zone := range zones {
		machines = append(machines, r.newMachine(i+1, zone))
	}
	var mu sync.Mutex
	var reached []time.Time // when the request reached a runner
	var crashes []time.Time
	taken := map[string]bool{} // sound requests that a runner has begun to run
	var runners []*runner
	for i, zone := range zones {
		x := &runner{r: r, id: fmt.Sprintf("i-%04x", 0x7f40+i), service: "desk", zone: zone, crashAt: point, addr: fmt.Sprintf("%s%d:%d", r.prefix, 100+i, r.base+portRunner)}
		if r.trouble {
			x.deadly = deadlyBody
		}
		x.ran = func(q run) {
			mu.Lock()
			defer mu.Unlock()
			if !strings.HasPrefix(q.attempt, "de") {
				taken[q.attempt] = true
				return
			}
			r.note("runner %s runs %s, crashes %v", x.id, q.attempt, q.crashed)
			reached = append(reached, q.at)
			if q.crashed {
				crashes = append(crashes, q.at)
			}
		}
		if err := x.start(); err != nil {
			return false, err
		}
		runners = append(runners, x)
	}
	cloud := fmt.Sprintf("%s200:%d", r.prefix, r.base+portCloud)
	if err := startCloud(cloud, runners); err != nil {
		return false, err
	}
	for _, m := range machines {
		if err := m.writeSettings(true, machines, cloud); err != nil {
			return false, err
		}
		for _, role := range []string{"state", "gate"} {
			if _, err := m.startRole(role); err != nil {
				return false, err
			}
		}
	}
	o := r.newOperator(machines...)
	if _, err := o.sendConfig(1, []byte(plainConfig), 15*time.Second); err != nil {
		return false, err
	}
	time.Sleep(3 * time.Second)
	for _, m := range machines {
		if !m.isReady() {
			return false, fmt.Errorf("%s is not ready", m.name)
		}
	}

	var calm, after tally
	var third atomic.Pointer[time.Time]
	lost := 0 // sound requests that were run and not answered, later than contact-ms after the third crash
	var measured atomic.Pointer[tally]
	measured.Store(&calm)
	stop := make(chan struct{})
	var clients sync.WaitGroup
	every := func(interval time.Duration, send func(*machine)) {
		clients.Go(func() {
			for i := 0; ; i++ {
				select {
				case <-stop:
					return
				case <-time.After(interval):
					clients.Go(func() { send(machines[i%len(machines)]) })
				}
			}
		})
	}
	every(plainInterval, func(m *machine) {
		id := fmt.Sprintf("50%014x", rand.Uint64()>>8)
		into := measured.Load()
		sent := time.Now()
		status, err := m.post("/send/2f", id, "a payment of "+id)
		mu.Lock()
		defer mu.Unlock()
		into.sent++
		if status == http.StatusOK && err == nil {
			into.begun++
		} else {
			r.note("sound request %s at %s: %d %v, run %v", id, m.name, status, err, taken[id])
			if t := third.Load(); taken[id] && t != nil && sent.After(t.Add(contactTime)) {
				lost++
			}
		}
	})
	time.Sleep(calmTime)
	measured.Store(&after)
	every(deadlyInterval, func(m *machine) {
		id := fmt.Sprintf("de%014x", rand.Uint64()>>8)
		status, err := m.post("/status/2f", id, deadlyBody)
		r.note("the request, as %s at %s: %d %v", id, m.name, status, err)
	})
	crashCount := func() int {
		mu.Lock()
		defer mu.Unlock()
		return len(crashes)
	}
	for end := time.Now().Add(thirdCrashTime); crashCount() < 3 && time.Now().Before(end) && r.trouble; {
		time.Sleep(10 * time.Millisecond)
	}
	now := time.Now()
	third.Store(&now)
	time.Sleep(contactTime + retryTime)
	close(stop)
	clients.Wait()

	mu.Lock()
	defer mu.Unlock()
	if r.trouble && len(crashes) < 3 {
		return false, fmt.Errorf("only %d runners crashed", len(crashes))
	}
	late := 0
	for _, at := range reached {
		if at.After(now.Add(contactTime)) {
			late++
		}
	}
	r.note("crashes: %d; arrivals later than contact-ms after the third: %d, allowed %d", len(crashes), late, maxRetries)
	r.note("sound requests that were run and lost, later than that: %d", lost)
	r.note("sound requests served, in calm: %d of %d; since the request came: %d of %d", calm.begun, calm.sent, after.begun, after.sent)
	return r.trouble && late > maxRetries, nil
}

// post sends a plain request on a new channel and returns the status of its answer. An
// error means that no whole answer came.
func (m *machine) post(path, id, body string) (status int, err error) {
	c, err := net.DialTimeout("tcp", m.addr(portFrontend), time.Second)
	if err != nil {
		return 0, err
	}
	defer func() { _ = c.Close() }()
	_ = c.SetDeadline(time.Now().Add(plainDeadline + 500*time.Millisecond))
	_, err = fmt.Fprintf(c, "POST %s HTTP/1.1\r\nHost: desk.example\r\nAttempt-Id: %s\r\nDeadline-Ms: %d\r\nKey: k1k1k1k1k1\r\nContent-Length: %d\r\n\r\n%s",
		path, id, plainDeadline.Milliseconds(), len(body), body)
	if err != nil {
		return 0, err
	}
	resp, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		return 0, err
	}
	defer func() { _ = resp.Body.Close() }()
	_, err = io.Copy(io.Discard, resp.Body)
	return resp.StatusCode, err
}
