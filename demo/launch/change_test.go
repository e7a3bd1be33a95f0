package launch

import (
	"fmt"
	"net/http"
	"testing"
	"time"
)

// Once ctl reports that a withdrawal is in force, the version must get no new
// chats. The chats that run on it must not be interrupted.
func TestWithdrawUnderStream(t *testing.T) {
	ctx, s := startSystem(t, 20*time.Millisecond)
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
	if problem := streamProblem(r, 60); err != nil || problem != "" || !withdrawn {
		t.Errorf("the stream on the withdrawn version: %v %s", err, problem)
	}
}

// Applying the same folder again must change nothing, so that no caller is refused
// because of it, and must undo no withdrawal.
func TestApplyAgainKeepsWithdrawal(t *testing.T) {
	ctx, s := startSystem(t, time.Millisecond)
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
