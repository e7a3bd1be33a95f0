package peer

import (
	"errors"
	"testing"
	"time"

	"citronledge.example/core/link"
	"citronledge.example/state/raft"
)

// sendUntil resends a packet, as raft does, until done is readable or closed.
func sendUntil(t *testing.T, tr *Transport, to raft.Member, p *raft.Packet, done <-chan struct{}) {
	t.Helper()
	tick := time.NewTicker(5 * time.Millisecond)
	defer tick.Stop()
	timeout := time.After(time.Minute)
	for {
		tr.Send(to, p)
		select {
		case <-tick.C:
		case <-done:
			return
		case <-timeout:
			t.Fatal("packet did not arrive within a minute")
		}
	}
}

// TestReconnect guards against a broken connection that is not replaced.
func TestReconnect(t *testing.T) {
	receiver := New(linkConfig("m2"))
	defer receiver.Close()
	e := listen(t, "127.0.0.1:0", "m2", receiver.Serve)
	defer e.close()
	sender := New(linkConfig("m1"))
	defer sender.Close()
	to := raft.Member{Name: "m2", Addr: e.listener.Addr().String()}
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
		e.closeSessions()
	}
}

// TestWrongSender guards against a member that impersonates another one.
func TestWrongSender(t *testing.T) {
	receiver := New(linkConfig("m2"))
	defer receiver.Close()
	refused := make(chan struct{}, 1)
	e := listen(t, "127.0.0.1:0", "m2", func(st *link.Stream) error {
		err := receiver.Serve(st)
		if errors.Is(err, errWrongSender) {
			select {
			case refused <- struct{}{}:
			default:
			}
		}
		return err
	})
	defer e.close()
	sender := New(linkConfig("m1"))
	defer sender.Close()
	sendUntil(t, sender, raft.Member{Name: "m2", Addr: e.listener.Addr().String()}, &raft.Packet{From: "m3"}, refused)
	if got := len(receiver.Receive()); got != 0 {
		t.Errorf("got %d packets of an impersonator, want 0", got)
	}
}

// TestSlowMember guards against a slow member that blocks the others or makes
// the queue grow without bound.
func TestSlowMember(t *testing.T) {
	block := make(chan struct{})
	e := listen(t, "127.0.0.1:0", "m2", func(*link.Stream) error { <-block; return nil })
	defer e.close()
	defer close(block)
	sender := New(linkConfig("m1"))
	defer sender.Close()
	to := raft.Member{Name: "m2", Addr: e.listener.Addr().String()}
	p := &raft.Packet{From: "m1", Entries: []*raft.Record{{Data: make([]byte, 256<<10)}}}
	for range 10 * maxOutgoing {
		sender.Send(to, p) // returns although the receiver does not read
	}
	sender.mu.Lock()
	defer sender.mu.Unlock()
	if got := len(sender.peers[to.Addr].queue); got > maxOutgoing {
		t.Errorf("%d packets queued, want at most %d", got, maxOutgoing)
	}
}

// TestCluster guards replication over real files and sessions: a cluster
// commits, survives the stop of its leader, and the stopped member catches up
// after its restart.
func TestCluster(t *testing.T) {
	list := startCluster(t, 3)
	first := waitForLeader(t, list)
	propose := func() {
		t.Helper()
		timeout := time.After(time.Minute)
		for {
			if _, err := waitForLeader(t, list).node.Propose(t.Context(), []byte("command")); err == nil {
				return
			}
			select {
			case <-timeout:
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
		t.Errorf("got %d commands after the restart, want 2 or more", got)
	}
}
