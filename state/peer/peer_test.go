package peer

import (
	"errors"
	"testing"
	"time"

	"citronledge.example/core/link"
	"citronledge.example/state/raft"
)

// sendUntil repeats a packet, as raft does, until cond is true.
func sendUntil(t *testing.T, tr *Transport, to raft.Member, p *raft.Packet, cond <-chan struct{}) {
	t.Helper()
	tick := time.NewTicker(5 * time.Millisecond)
	defer tick.Stop()
	end := time.After(time.Minute)
	for {
		tr.Send(to, p)
		select {
		case <-tick.C:
		case <-cond:
			return
		case <-end:
			t.Fatal("packet did not arrive within a minute")
		}
	}
}

// Guards against a connection that is not replaced after it broke.
func TestReconnect(t *testing.T) {
	receiver := New(config("m2"))
	defer receiver.Close()
	e := listen(t, "127.0.0.1:0", "m2", receiver.Serve)
	defer e.close()
	sender := New(config("m1"))
	defer sender.Close()
	to := raft.Member{Name: "m2", Addr: e.l.Addr().String()}
	for term := range uint64(3) {
		arrived := make(chan struct{})
		go func() {
			for p := range receiver.Receive() {
				if p.Term == term {
					close(arrived)
					return
				}
			}
		}()
		sendUntil(t, sender, to, &raft.Packet{From: "m1", To: "m2", Term: term}, arrived)
		e.drop()
	}
}

// Guards against a member that impersonates another one.
func TestWrongSender(t *testing.T) {
	receiver := New(config("m2"))
	defer receiver.Close()
	refused := make(chan struct{}, 1)
	e := listen(t, "127.0.0.1:0", "m2", func(st *link.Stream) error {
		err := receiver.Serve(st)
		if errors.Is(err, errName) {
			select {
			case refused <- struct{}{}:
			default:
			}
		}
		return err
	})
	defer e.close()
	sender := New(config("m1"))
	defer sender.Close()
	sendUntil(t, sender, raft.Member{Name: "m2", Addr: e.l.Addr().String()}, &raft.Packet{From: "m3"}, refused)
	if got := len(receiver.Receive()); got != 0 {
		t.Errorf("got %d packets of an impersonator, want 0", got)
	}
}

// Guards against a slow member that blocks the others or piles up memory.
func TestSlowMember(t *testing.T) {
	hold := make(chan struct{})
	e := listen(t, "127.0.0.1:0", "m2", func(*link.Stream) error { <-hold; return nil })
	defer e.close()
	defer close(hold)
	sender := New(config("m1"))
	defer sender.Close()
	to := raft.Member{Name: "m2", Addr: e.l.Addr().String()}
	p := &raft.Packet{From: "m1", Entries: []*raft.Record{{Data: make([]byte, 256<<10)}}}
	for range 10 * outLimit {
		sender.Send(to, p) // returns although nobody reads
	}
	sender.mu.Lock()
	defer sender.mu.Unlock()
	if got := len(sender.peers[to.Addr].out); got > outLimit {
		t.Errorf("%d packets wait, want at most %d", got, outLimit)
	}
}

// Guards the whole path over real files and sessions: a cluster commits,
// survives the stop of its leader, and the member catches up on its return.
func TestCluster(t *testing.T) {
	list := cluster(t, 3)
	first := leader(t, list)
	propose := func() {
		t.Helper()
		end := time.After(time.Minute)
		for {
			if _, err := leader(t, list).node.Propose(t.Context(), []byte("command")); err == nil {
				return
			}
			select {
			case <-end:
				t.Fatal("no commit within a minute")
			default:
			}
		}
	}
	propose()
	first.stop(t)
	propose()
	first.start(t)
	if err := first.node.ReadBarrier(t.Context()); err != nil {
		t.Fatal(err)
	}
	if got := first.machine.count(); got < 2 {
		t.Errorf("got %d commands after the return, want 2 or more", got)
	}
}
