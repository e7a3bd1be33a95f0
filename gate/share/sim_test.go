package share_test

import (
	"container/heap"
	"fmt"
	"math"
	"math/rand/v2"
	"net/netip"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"google.golang.org/protobuf/proto"

	"citronledge.example/core/ident"
	"citronledge.example/core/policy"
	"citronledge.example/core/wire"
	"citronledge.example/gate/fleet"
	"citronledge.example/gate/share"
	"citronledge.example/platform"
)

// loads is a share.LoadTable whose own loads change at random.
type loads struct {
	rand     *rand.Rand
	running  map[uint32]uint32
	reported map[string]share.Report
}

func (l *loads) LocalLoads() ([]share.Load, bool) {
	var list []share.Load
	for server, n := range l.running {
		list = append(list, share.Load{Server: server, Running: n, Reading: 1000 * n, Good: 10_000})
	}
	return list, true
}

func (l *loads) MergeLoads(r share.Report, _ time.Duration) { l.reported[r.Source] = r }
func (l *loads) ForgetLoads()                               { clear(l.reported) }
func (l *loads) SetExchange(share.Gates, time.Duration)     {}
func (l *loads) Limits() []share.Limit                      { return nil }
func (l *loads) MergeLimits([]share.Limit)                  {}
func (l *loads) PathLosses() []*wire.PathLoss               { return nil }
func (l *loads) SetPathLosses([]*wire.PathLoss)             {}

// change begins or ends an attempt at a random server.
func (l *loads) change(servers int) {
	s := uint32(l.rand.IntN(servers)) + 1
	if l.running[s] > 0 && l.rand.IntN(2) == 0 {
		l.running[s]--
	} else {
		l.running[s]++
	}
}

// total returns the attempts in flight everywhere, as far as they are known.
func (l *loads) total() (n int) {
	for _, r := range l.running {
		n += int(r)
	}
	for _, r := range l.reported {
		for _, x := range r.Loads {
			n += int(x.Running)
		}
	}
	return n
}

// parts is a share.PartTable.
type parts struct{ *policy.Quarantine }

func (p parts) TakePartNews() policy.PartNews      { return p.TakeNews(time.Now()) }
func (p parts) MergePartNews(news policy.PartNews) { p.Merge(news, time.Now()) }

// gate is a gate of the simulation.
type gate struct {
	share.Member
	node     *share.Node
	fleet    *fleet.Fleet
	loads    *loads
	parts    parts
	down     bool
	linkFree time.Time // when its link has sent what is queued
	sent     int       // bytes
	messages int
	reads    int // of the list
}

// event is something that happens at a time.
type event struct {
	at  time.Time
	seq int
	do  func()
}

type events []event

func (e events) Len() int { return len(e) }
func (e events) Less(i, j int) bool {
	return e[i].at.Before(e[j].at) || e[i].at.Equal(e[j].at) && e[i].seq < e[j].seq
}
func (e events) Swap(i, j int) { e[i], e[j] = e[j], e[i] }
func (e *events) Push(x any)   { *e = append(*e, x.(event)) }
func (e *events) Pop() any {
	last := (*e)[len(*e)-1]
	*e = (*e)[:len(*e)-1]
	return last
}

// world connects gates by links with a rate, a queue, a delay and loss.
type world struct {
	rand   *rand.Rand
	gates  []*gate
	byAddr map[netip.AddrPort]*gate
	events events
	seq    int
	loss   float64
	list   []platform.ListedBackend
}

const (
	simLinkRate   = 1.25e6 // bytes per second
	simQueueBytes = 64 << 10
	simDelay      = 2 * time.Millisecond // at most
	simServers    = 160
	simCheck      = 50 * time.Millisecond
	simReadSlack  = 2400 * time.Millisecond
)

func newWorld(n int, seed uint64, loss float64) *world {
	return newWorldWith(n, seed, loss, func(g *gate) share.LoadTable { return g.loads })
}

func newWorldWith(n int, seed uint64, loss float64, table func(*gate) share.LoadTable) *world {
	w := &world{rand: rand.New(rand.NewPCG(seed, 1)), byAddr: map[netip.AddrPort]*gate{}, loss: loss}
	for i := range simServers {
		w.list = append(w.list, platform.ListedBackend{ID: ident.Backend(fmt.Sprint("s", i)), Service: "pool", Address: "10.0.0.1:80", Version: "v1", Slots: 8})
	}
	var members []share.Member
	for i := range n {
		addr := netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, byte(i % 5), byte(i / 250), byte(i%250 + 1)}), 7000)
		members = append(members, share.Member{Addr: addr, Zone: ident.Zone(fmt.Sprint("z", i%5)), LinkRate: simLinkRate / 1000})
	}
	for i, m := range members {
		g := &gate{Member: m, fleet: fleet.New(m.Zone), loads: &loads{rand: w.rand, running: map[uint32]uint32{}, reported: map[string]share.Report{}}, parts: parts{policy.NewQuarantine()}}
		g.node = share.NewNode(share.Config{Name: fmt.Sprint("g", i), Self: m, ReadSlack: simReadSlack, Loads: table(g), Parts: g.parts, Lists: g.fleet, Colds: g.fleet}, w.rand.Uint64())
		g.node.SetMembers(slices.Delete(slices.Clone(members), i, i+1), time.Now())
		w.gates = append(w.gates, g)
		w.byAddr[m.Addr] = g
		w.after(time.Duration(w.rand.Int64N(int64(300*time.Millisecond))), func() { w.tick(g) })
		w.after(time.Duration(w.rand.Int64N(int64(300*time.Millisecond))), func() { w.check(g) })
	}
	return w
}

func (w *world) after(d time.Duration, do func()) {
	w.seq++
	heap.Push(&w.events, event{time.Now().Add(d), w.seq, do})
}

// run plays d of simulated time.
func (w *world) run(d time.Duration) {
	for end := time.Now().Add(d); len(w.events) > 0 && w.events[0].at.Before(end); {
		e := heap.Pop(&w.events).(event)
		time.Sleep(time.Until(e.at))
		e.do()
	}
}

func (w *world) tick(g *gate) {
	next := simCheck
	if !g.down {
		var packets []share.Packet
		packets, next = g.node.Tick(time.Now())
		w.send(g, packets)
	}
	w.after(next, func() { w.tick(g) })
}

// check changes the loads of a gate and reads the list if that is due.
func (w *world) check(g *gate) {
	g.loads.change(simServers)
	if !g.down && !time.Now().Before(g.fleet.NextListRead(time.Second, g.node.ReadDelay())) {
		g.reads++
		g.fleet.SetList(w.list, time.Now())
	}
	w.after(simCheck, func() { w.check(g) })
}

func (w *world) send(g *gate, packets []share.Packet) {
	now := time.Now()
	for _, p := range packets {
		size := proto.Size(p.Message) + 60
		for _, to := range p.To {
			g.messages++
			g.sent += size
			if g.linkFree.Before(now) {
				g.linkFree = now
			}
			if float64(g.linkFree.Sub(now))/float64(time.Second)*simLinkRate > simQueueBytes || w.rand.Float64() < w.loss {
				continue
			}
			g.linkFree = g.linkFree.Add(time.Duration(float64(size) / simLinkRate * float64(time.Second)))
			other := w.byAddr[to]
			w.after(g.linkFree.Sub(now)+time.Duration(w.rand.Int64N(int64(simDelay))), func() {
				if !other.down {
					w.send(other, other.node.Receive(g.Addr, p.Message, time.Now()))
				}
			})
		}
	}
}

// oldestReading returns the greatest age of a list at any gate that runs.
func (w *world) oldestReading() (age time.Duration) {
	for _, g := range w.gates {
		if !g.down {
			age = max(age, time.Since(g.fleet.ListReadAt()))
		}
	}
	return age
}

// haveList reports whether all gates that run have the list of the world.
func (w *world) haveList(leaving int) bool {
	for _, g := range w.gates {
		if !g.down && g.fleet.CountByVersion("pool")["v1"] != simServers-leaving {
			return false
		}
	}
	return true
}

// loadError returns the mean error of what gates know of the attempts in flight
// everywhere, as a share of them.
func (w *world) loadError() float64 {
	truth, sum, n := 0, 0.0, 0
	for _, g := range w.gates {
		for _, r := range g.loads.running {
			truth += int(r)
		}
	}
	for _, g := range w.gates {
		if !g.down {
			sum += math.Abs(float64(g.loads.total()-truth)) / float64(truth)
			n++
		}
	}
	return sum / float64(n)
}

// At any number of gates, what they send each other leaves most of a link of
// 10 Mbit/s to callers, one reads the list for all, and a change of the list
// reaches all within the time that a leaving server allows. If each gate sent
// to all others, 300 of them would need more than their links have.
func TestSpread(t *testing.T) {
	const (
		settle, measured = 4 * time.Second, 6 * time.Second
		maxShare         = 0.25 // of the link
		maxReads         = 2.0  // a second, by all gates together
		maxKnown         = 2500 * time.Millisecond
		maxLoadError     = 0.1
	)
	for _, n := range []int{10, 32, 105, 300} {
		t.Run(fmt.Sprint(n, " gates"), func(t *testing.T) {
			if n > 105 && testing.Short() {
				t.Skip("takes seconds")
			}
			synctest.Test(t, func(t *testing.T) {
				w := newWorld(n, uint64(n), 0.01)
				w.run(settle)
				for _, g := range w.gates {
					g.sent, g.messages, g.reads = 0, 0, 0
				}
				w.run(measured)
				most, messages, reads := 0, 0, 0
				for _, g := range w.gates {
					most, messages, reads = max(most, g.sent), max(messages, g.messages), reads+g.reads
				}
				rate := float64(most) / measured.Seconds()
				perSecond := float64(reads) / measured.Seconds()
				t.Logf("%d gates: at most %.0f kB and %.0f messages a second, %.1f readings a second, error of loads %.3f",
					n, rate/1000, float64(messages)/measured.Seconds(), perSecond, w.loadError())
				if rate > maxShare*simLinkRate {
					t.Errorf("a gate sends %.0f bytes a second, want at most %.0f", rate, maxShare*simLinkRate)
				}
				if perSecond > maxReads {
					t.Errorf("got %.1f readings of the list a second, want at most %v", perSecond, maxReads)
				}
				if got := w.loadError(); got > maxLoadError {
					t.Errorf("got an error of %.3f of the loads, want at most %v", got, maxLoadError)
				}
				w.list = slices.Clone(w.list)
				w.list[7].Leaving = true
				start := time.Now()
				for !w.haveList(1) && time.Since(start) < 2*maxKnown {
					w.run(simCheck)
				}
				if took := time.Since(start); took > maxKnown {
					t.Errorf("all gates know of a change after %v, want at most %v", took, maxKnown)
				}
			})
		})
	}
}

// When relays fail, with the gates that would take over, the others get news
// again, or read the list themselves, before a leaving server has ended.
func TestSpreadWithoutRelays(t *testing.T) {
	const maxAge = 3700 * time.Millisecond
	synctest.Test(t, func(t *testing.T) {
		w := newWorld(105, 5, 0.02)
		w.run(4 * time.Second)
		for _, g := range w.gates {
			// The relays of all groups, and the next gate of each.
			if g.node.ReadDelay() < simReadSlack*41/50 {
				g.down = true
			}
		}
		down := 0
		for _, g := range w.gates {
			if g.down {
				down++
			}
		}
		if down < 10 {
			t.Fatalf("%d gates are down, want the relays and standbys of 5 groups", down)
		}
		for range 100 {
			w.run(100 * time.Millisecond)
			if got := w.oldestReading(); got > maxAge {
				t.Fatalf("a gate has a list of %v ago, want at most %v", got, maxAge)
			}
		}
		for _, g := range w.gates {
			g.reads = 0
		}
		w.run(3 * time.Second)
		reads := 0
		for _, g := range w.gates {
			reads += g.reads
		}
		if reads > 6 {
			t.Errorf("got %d readings of the list in 3 s after others have taken over, want at most 6", reads)
		}
	})
}

// All gates know of a part of prompts that crashes servers within the time that
// a change of the list may take, although each crash is seen by another gate;
// and they know as soon when an answer to it has begun.
func TestSpreadOfCrashes(t *testing.T) {
	const maxKnown = 2500 * time.Millisecond
	deadly := []ident.PromptPart{1}
	for _, n := range []int{2, 10, 32, 105} {
		t.Run(fmt.Sprint(n, " gates"), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				w := newWorld(n, uint64(n), 0.03)
				w.run(4 * time.Second)
				blocking := func() (count int) {
					for _, g := range w.gates {
						if _, blocked := g.parts.Blocked(deadly, time.Now()); blocked {
							count++
						}
					}
					return count
				}
				waitFor := func(want int) {
					start := time.Now()
					for blocking() != want && time.Since(start) < 2*maxKnown {
						w.run(simCheck)
					}
					if took := time.Since(start); took > maxKnown {
						t.Errorf("%d gates block the part after %v, want %d within %v", blocking(), took, want, maxKnown)
					}
				}
				for i := range 3 {
					w.gates[i*(n-1)/2].parts.RecordCrash(policy.Crash{Server: uint32(i), Request: uint64(i), Parts: deadly}, time.Now())
					w.run(300 * time.Millisecond)
				}
				waitFor(n)
				w.gates[0].parts.RecordSound(deadly, 0, time.Now())
				waitFor(0)
			})
		})
	}
}
