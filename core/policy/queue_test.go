package policy

import (
	"math/rand/v2"
	"testing"
	"time"

	"citronledge.example/core/ident"
)

// offerChats offers tickets with ids from first to last, each with a predicted
// time of one second.
func offerChats(q *Queue, c ident.Customer, first, last uint64, maxLatency time.Duration) (run, wait, refused int) {
	for id := first; id <= last; id++ {
		t := Ticket{ID: id, Customer: c, Kind: ident.Chat, SlotTime: time.Second, Deadline: epoch.Add(maxLatency)}
		switch q.Offer(epoch, t).Action {
		case Run:
			run++
		case Wait:
			wait++
		case Refuse:
			refused++
		}
	}
	return run, wait, refused
}

func TestQueueAdmission(t *testing.T) {
	for name, test := range map[string]struct {
		cfg                QueueConfig
		maxLatency         time.Duration
		run, wait, refused int
	}{
		"past deadline, slots free":  {QueueConfig{MaxWaiting: 9, Slots: 9}, -time.Second, 0, 0, 9},
		"deadline before the answer": {QueueConfig{MaxWaiting: 9, Slots: 9}, time.Second / 2, 0, 0, 9},
		"no slots":                   {QueueConfig{MaxWaiting: 9}, time.Minute, 0, 0, 9},
		"negative configuration":     {QueueConfig{-1, -1, -1}, time.Minute, 0, 0, 9},
		"no queue":                   {QueueConfig{Slots: 3}, time.Minute, 3, 0, 6},
		"enough time":                {QueueConfig{MaxWaiting: 9, Slots: 3}, time.Minute, 3, 6, 0},
		// One second in a slot, three slots: three more fit in every second.
		"time for one round": {QueueConfig{MaxWaiting: 9, Slots: 3}, 2600 * time.Millisecond, 3, 4, 2},
	} {
		t.Run(name, func(t *testing.T) {
			run, wait, refused := offerChats(NewQueue(test.cfg), "a", 1, 9, test.maxLatency)
			if run != test.run || wait != test.wait || refused != test.refused {
				t.Errorf("got %d run, %d wait, %d refused; want %d, %d, %d", run, wait, refused, test.run, test.wait, test.refused)
			}
		})
	}
}

// The advice to a refused caller must be neither an immediate retry nor one
// after an unbounded time.
func TestQueueRetryIsBounded(t *testing.T) {
	for _, cfg := range []QueueConfig{{}, {MaxWaiting: 1, Slots: 1}, {MaxWaiting: 100, Slots: 1}} {
		q := NewQueue(cfg)
		for id := range uint64(100) {
			a := q.Offer(epoch, Ticket{ID: id, Kind: ident.Report, SlotTime: time.Hour, Deadline: epoch.Add(2 * time.Hour)})
			if a.Action == Refuse && (a.RetryAfter < minRetryAfter || a.RetryAfter > 2*maxRetryAfter) {
				t.Fatalf("%+v: got a retry after %v", cfg, a.RetryAfter)
			}
		}
	}
}

// The queue of a large customer must not make a small one wait or be refused.
func TestQueueSmallCustomer(t *testing.T) {
	q := NewQueue(QueueConfig{MaxWaiting: 50, Slots: 2})
	offerChats(q, "large", 1, 100, time.Hour)
	if _, wait, _ := offerChats(q, "small", 101, 102, time.Hour); wait != 2 {
		t.Fatalf("got %d waiting, want 2 although the queue is full", wait)
	}
	if dropped := q.Expire(epoch); len(dropped) != 2 || dropped[0].Customer != "large" {
		t.Errorf("got %v, want two tickets of the large customer to be evicted", dropped)
	}
	q.Done(epoch, 1, time.Second)
	if next, _ := q.Next(epoch); next.Customer != "small" {
		t.Errorf("got %q next, want the small customer", next.Customer)
	}
}

func TestQueueWeights(t *testing.T) {
	q := NewQueue(QueueConfig{MaxWaiting: 1000, Slots: 1})
	q.Offer(epoch, Ticket{ID: 1, Customer: "first", SlotTime: time.Second})
	for id := uint64(10); id < 110; id++ {
		q.Offer(epoch, Ticket{ID: 2 * id, Customer: "three", Weight: 3, Kind: ident.Chat, SlotTime: time.Second})
		q.Offer(epoch, Ticket{ID: 2*id + 1, Customer: "zero", Weight: 0, Kind: ident.Chat, SlotTime: time.Second})
	}
	count, running := map[ident.Customer]int{}, uint64(1)
	for range 80 {
		q.Done(epoch, running, time.Second)
		next, _ := q.Next(epoch)
		count[next.Customer]++
		running = next.ID
	}
	if count["three"] != 60 || count["zero"] != 20 {
		t.Errorf("got %v, want 60 to 20; weight 0 counts as 1", count)
	}
}

// Long work waits for its own slots and never takes those of short work.
func TestQueueLongWork(t *testing.T) {
	q := NewQueue(QueueConfig{MaxWaiting: 100, Slots: 4, LongSlots: 2})
	for id := range uint64(6) {
		q.Offer(epoch, Ticket{ID: id, Customer: "a", Kind: ident.Report, SlotTime: time.Minute})
	}
	if waiting, running := q.Len(); waiting != 4 || running != 2 {
		t.Fatalf("got %d waiting, %d running; want 4 and 2", waiting, running)
	}
	if run, _, _ := offerChats(q, "a", 10, 11, time.Minute); run != 2 {
		t.Errorf("got %d chats running, want 2", run)
	}
	// Short work for every slot: long work keeps its minimum number of slots.
	offerChats(q, "a", 20, 60, time.Hour)
	q.Resize(2, 1)
	for _, id := range []uint64{0, 1, 10, 11} {
		q.Done(epoch, id, time.Second)
	}
	if next, _ := q.Next(epoch); next.Kind != ident.Report {
		t.Errorf("got kind %v next, want a report", next.Kind)
	}
}

// Work that would miss its deadline must not take the slot of work that can
// still meet its own.
func TestQueueExpire(t *testing.T) {
	q := NewQueue(QueueConfig{MaxWaiting: 10, Slots: 1})
	offerChats(q, "a", 1, 2, 3*time.Second)
	offerChats(q, "a", 3, 3, time.Minute)
	now := epoch.Add(2500 * time.Millisecond)
	q.Done(now, 1, 2500*time.Millisecond)
	if next, ok := q.Next(now); !ok || next.ID != 3 {
		t.Errorf("got %v next, want 3", next.ID)
	}
	if dropped := q.Expire(now); len(dropped) != 1 || dropped[0].ID != 2 {
		t.Errorf("got %v expired, want ticket 2", dropped)
	}
}

// Any order of calls must keep the counts consistent: no slot is lost or used
// twice, and every ticket leaves the queue in exactly one way.
func TestQueueCounts(t *testing.T) {
	rng := rand.New(rand.NewPCG(1, 2))
	q := NewQueue(QueueConfig{MaxWaiting: 20, Slots: 5, LongSlots: 2})
	now, waiting, running := epoch, map[uint64]bool{}, []uint64{}
	for id := range uint64(20_000) {
		now = now.Add(time.Duration(rng.IntN(200)) * time.Millisecond)
		kind := ident.Kind(1 + rng.IntN(3))
		customer := ident.Customer(rune('a' + rng.IntN(4)))
		a := q.Offer(now, Ticket{ID: id, Customer: customer, Kind: kind, Weight: rng.IntN(3), Deadline: now.Add(time.Duration(rng.IntN(9)) * time.Second)})
		switch a.Action {
		case Run:
			running = append(running, id)
		case Wait:
			waiting[id] = true
		}
		if len(running) > 0 && rng.IntN(2) == 0 {
			i := rng.IntN(len(running))
			if rng.IntN(4) == 0 {
				q.Cancel(running[i])
			} else {
				q.Done(now, running[i], time.Duration(rng.IntN(3000))*time.Millisecond)
			}
			running = append(running[:i], running[i+1:]...)
		}
		for _, dropped := range q.Expire(now) {
			delete(waiting, dropped.ID)
		}
		for next, ok := q.Next(now); ok; next, ok = q.Next(now) {
			if !waiting[next.ID] {
				t.Fatalf("ticket %d was not waiting", next.ID)
			}
			delete(waiting, next.ID)
			running = append(running, next.ID)
		}
		for _, dropped := range q.Expire(now) {
			delete(waiting, dropped.ID)
		}
		if w, r := q.Len(); w != len(waiting) || r != len(running) || r > 5 || w > 20 {
			t.Fatalf("got %d waiting, %d running; want %d, %d", w, r, len(waiting), len(running))
		}
	}
}
