package main

import (
	"bufio"
	"fmt"
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
	contactTime = 3 * time.Second // the bound contact-ms
	// calmTime is how long sound requests are measured before the first request with
	// the part that crashes runners.
	calmTime = 10 * time.Second
	// soundInterval and tainted are the pauses between two sound requests, and
	// between two with the part.
	soundInterval   = 50 * time.Millisecond
	taintedInterval = 300 * time.Millisecond
	// measureTime is how long sound requests are measured from two contact-ms after
	// the fifth crash.
	measureTime = 20 * time.Second
	// fifthCrashTime limits the wait for the fifth crash; after it the last one counts.
	fifthCrashTime = 15 * time.Second
	// streamDeadline is Deadline-Ms of a stream.
	streamDeadline = 5 * time.Second
	// maxTainted is how many requests with the part may reach runners after the fifth
	// crash and contact-ms.
	maxTainted = 3
)

// deadlyPart is the part of the prompt that crashes each runner that begins to write an
// answer on it.
const deadlyPart = "dead0dead0"

const modelConfig = `{"version":1,"routes":[{"name":"r-chat","host":"desk.example","path-prefix":"/chat/","type":"streaming","timeout-ms":20000,"target-latency-ms":3000,"priority":1,"sizes":["small"],"service":"pool","max-attempts":3,"public":false,"session-affinity":true,"stream-resume":true,"target-itl-ms":1200}],"services":[{"name":"pool","health-path":"/healthz","max-connections":330,"protocol":"h1","tls":false,"engine":{"slots":48,"kv-capacity-tokens":553448,"kv-bytes":35136,"link-mbps":550000.0,"migrations":true,"backups":true,"stride":7,"most":12,"pin-ms":4000.0,"hold-ms":2000.0,"session-ttl-s":5.0,"models":[{"name":"small","cost":0.017}]}}],"limits":{"max-header-bytes":16384,"max-body-bytes":4194304,"header-timeout-ms":3000,"idle-timeout-ms":15000},"tenants":[{"name":"t1","api-keys":["k1k1k1k1k1"],"priority":1}]}`

// tally counts requests of one kind in one span.
type tally struct{ sent, begun int }

func (t tally) share() float64 { return float64(t.begun) / float64(max(1, t.sent)) }

// crashAfterEvent sends prompts with a part that crashes each runner that begins to
// write an answer on it: its first event still goes out. Sound requests with the same
// key and first part come all the while.
func crashAfterEvent(r *rig) (bool, error) {
	points := map[string]crashPoint{"": afterEvent, "event": afterEvent, "head": afterHead}
	point, ok := points[os.Getenv("CRASH")]
	if !ok {
		return false, fmt.Errorf("CRASH is event or head")
	}
	zones := []string{"kolkata-a", "howrah-b", "salt-lake-c"}
	var machines []*machine
	for i, zone := range zones {
		machines = append(machines, r.newMachine(i+1, zone))
	}
	var mu sync.Mutex
	var crashes []time.Time
	tainted := map[string]time.Time{} // when each request with the part first reached a runner
	var runners []*runner
	for i := range 9 {
		x := &runner{
			r: r, id: fmt.Sprintf("i-%04x", 0x7f30+i), service: "pool", zone: zones[i%len(zones)],
			addr: fmt.Sprintf("%s%d:%d", r.prefix, 100+i, r.base+portRunner),
		}
		if r.trouble {
			x.deadly = deadlyPart
		}
		x.crashAt = point
		x.ran = func(q run) {
			if !q.crashed {
				return
			}
			r.note("runner %s runs %s and crashes", x.id, q.attempt)
			mu.Lock()
			defer mu.Unlock()
			crashes = append(crashes, q.at)
			if _, known := tainted[q.attempt]; !known {
				tainted[q.attempt] = q.at
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
	if _, err := o.sendConfig(1, []byte(modelConfig), 15*time.Second); err != nil {
		return false, err
	}
	time.Sleep(3 * time.Second)
	for _, m := range machines {
		if !m.isReady() {
			return false, fmt.Errorf("%s is not ready", m.name)
		}
	}

	// Sound requests all the while, each at the next machine.
	var calm, after tally
	var measured atomic.Pointer[tally]
	measured.Store(&calm)
	stop := make(chan struct{})
	var clients sync.WaitGroup
	clients.Go(func() {
		for i := 0; ; i++ {
			select {
			case <-stop:
				return
			case <-time.After(soundInterval):
			}
			m, into := machines[i%len(machines)], measured.Load()
			clients.Go(func() {
				id := fmt.Sprintf("50%014x", rand.Uint64()>>8)
				prompt := fmt.Sprintf("5c1e07a2:198,50%06x:130,a%07x:300", rand.IntN(40), rand.Uint32()>>4)
				begun, end := m.stream(id, prompt)
				if into == nil {
					return
				}
				mu.Lock()
				defer mu.Unlock()
				into.sent++
				if begun {
					into.begun++
				} else {
					r.note("sound request %s at %s: %s", id, m.name, end)
				}
			})
		}
	})
	time.Sleep(calmTime)
	measured.Store(nil)

	// Requests with the part, no two alike, at any machine.
	clients.Go(func() {
		for i := 0; ; i++ {
			select {
			case <-stop:
				return
			case <-time.After(taintedInterval):
			}
			m := machines[i%len(machines)]
			clients.Go(func() {
				id := fmt.Sprintf("de%014x", rand.Uint64()>>8)
				_, end := m.stream(id, fmt.Sprintf("5c1e07a2:198,%s:120,b%07x:300", deadlyPart, rand.Uint32()>>4))
				r.note("request with the part %s at %s: %s", id, m.name, end)
			})
		}
	})
	crashCount := func() int {
		mu.Lock()
		defer mu.Unlock()
		return len(crashes)
	}
	for end := time.Now().Add(fifthCrashTime); crashCount() < 5 && time.Now().Before(end); {
		time.Sleep(10 * time.Millisecond)
	}
	fifth := time.Now()
	r.note("crashes of runners: %d", crashCount())
	time.Sleep(2 * contactTime)
	measured.Store(&after)
	time.Sleep(measureTime)
	measured.Store(nil)
	close(stop)
	clients.Wait()

	mu.Lock()
	defer mu.Unlock()
	late := 0
	for _, at := range tainted {
		if at.After(fifth.Add(contactTime)) {
			late++
		}
	}
	r.note("crashes: %d; requests with the part that reached runners later than contact-ms after the fifth: %d, allowed %d", len(crashes), late, maxTainted)
	r.note("sound requests, in calm: %d sent, %d begun (%.2f); from two contact-ms after the fifth crash: %d sent, %d begun (%.2f)", calm.sent, calm.begun, calm.share(), after.sent, after.begun, after.share())
	if calm.sent < 20 || after.sent < 20 || calm.share() < 0.9 {
		return false, fmt.Errorf("too few requests, or none served in calm")
	}
	return late > maxTainted, nil
}

func (m *machine) isReady() bool {
	c := http.Client{Timeout: time.Second}
	resp, err := c.Get("http://" + m.addr(portReadiness) + "/api/readyz")
	if err != nil {
		return false
	}
	_ = resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

// stream sends one request on a new channel. It returns whether its first event came,
// and how it ended.
func (m *machine) stream(id, prompt string) (begun bool, end string) {
	c, err := net.DialTimeout("tcp", m.addr(portFrontend), time.Second)
	if err != nil {
		return false, "no channel: " + err.Error()
	}
	defer func() { _ = c.Close() }()
	_ = c.SetDeadline(time.Now().Add(streamDeadline))
	body := "prompt of " + id
	_, err = fmt.Fprintf(c, "POST /chat/2f HTTP/1.1\r\nHost: desk.example\r\nAttempt-Id: %s\r\nModel: *\r\nToken-Usage: 900,40\r\nPrefix-Hash: %s\r\nDeadline-Ms: %d\r\nKey: k1k1k1k1k1\r\nContent-Length: %d\r\n\r\n%s",
		id, prompt, streamDeadline.Milliseconds(), len(body), body)
	if err != nil {
		return false, "cannot send: " + err.Error()
	}
	resp, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		return false, "no answer: " + err.Error()
	}
	defer func() { _ = resp.Body.Close() }()
	if resp.StatusCode != http.StatusOK {
		return false, fmt.Sprintf("status %d, Retry-After %q", resp.StatusCode, resp.Header.Get("Retry-After"))
	}
	first, err := bufio.NewReader(resp.Body).ReadString('\n')
	if err != nil {
		return false, "no event: " + err.Error()
	}
	return strings.HasPrefix(first, "id:"), "an answer"
}
