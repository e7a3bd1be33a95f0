package launch

import (
	"fmt"
	"net/http"
	"testing"
	"time"
)

// Guards against a withdrawn version that gets new chats once ctl says that
// the withdrawal is in force, and against cutting the chats that run on it.
func TestWithdrawUnderStream(t *testing.T) {
	ctx, s := start(t, 20*time.Millisecond)
	withdrawn := false
	r, err := caller(s, 0).ChatWithProgress(ctx, ChatBody("swift/v2", "claim 7", 60, true), func(events int) {
		if events != 10 {
			return
		}
		if _, err := s.RunCtl(ctx, "withdraw", "--wait", "swift", "v2"); err != nil {
			t.Error(err)
		}
		withdrawn = true
		for gate := range s.Gates {
			r, err := caller(s, gate).Chat(ctx, ChatBody("swift/v2", "claim 8", 4, false))
			if err != nil || r.Status == http.StatusOK {
				t.Errorf("gate %d: got %d %s, %v for a withdrawn version", gate, r.Status, r.Body, err)
			}
			r, err = caller(s, gate).Chat(ctx, ChatBody("swift", "claim 9", 4, false))
			if err != nil || r.Target != "swift/v1" {
				t.Errorf("gate %d: got %s, %v for the model; want its other version", gate, r.Target, err)
			}
		}
	})
	if why := whole(r, 60); err != nil || why != "" || !withdrawn {
		t.Errorf("the stream that ran: %v %s", err, why)
	}
}

// Guards against a caller that is refused after one folder change too many:
// applying the same folder again changes nothing and undoes no withdrawal.
func TestApplyAgainKeepsWithdrawal(t *testing.T) {
	ctx, s := start(t, time.Millisecond)
	if _, err := s.RunCtl(ctx, "withdraw", "--wait", "swift", "v2"); err != nil {
		t.Fatal(err)
	}
	before, err := s.status(ctx)
	if err != nil {
		t.Fatal(err)
	}
	for range 2 {
		if _, err := s.Apply(ctx); err != nil {
			t.Fatal(err)
		}
	}
	if after, err := s.status(ctx); err != nil || after.GetRevision() != before.GetRevision() {
		t.Errorf("got revision %d, %v after the same folder; want %d", after.GetRevision(), err, before.GetRevision())
	}
	r, err := caller(s, 0).Chat(ctx, ChatBody("swift/v2", "claim 8", 4, false))
	if err != nil || r.Status == http.StatusOK {
		t.Errorf("got %s, %v", fmt.Sprint(r.Status, r.Target), err)
	}
}
