package ledger

import (
	"testing"
	"time"

	"citronledge.example/core/conf"
	"citronledge.example/core/fault"
	"citronledge.example/core/wire"
)

func replace(version uint64, body string) *wire.Command {
	return &wire.Command{Kind: &wire.Command_Replace{Replace: &wire.Replace{
		Version: version, Digest: DocumentDigest([]byte(body)), Document: []byte(body),
	}}}
}

// TestReplace guards against a document that overwrites a higher version or the
// same version with other content, and against a repeat of an acknowledged
// document that is refused.
func TestReplace(t *testing.T) {
	r := newFixture(t)
	for _, x := range []struct {
		name    string
		c       *wire.Command
		kind    fault.Kind
		version uint64
		body    string
	}{
		{"first", replace(4, `{"a":1}`), "", 4, `{"a":1}`},
		{"again", replace(4, `{"a":1}`), "", 4, `{"a":1}`},
		{"same version, other content", replace(4, `{"a":2}`), fault.Conflict, 4, `{"a":1}`},
		{"higher", replace(9, `{"a":3}`), "", 9, `{"a":3}`},
		{"superseded", replace(4, `{"a":1}`), "", 9, `{"a":3}`},
		{"superseded, not applied before", replace(8, `{"a":5}`), "", 9, `{"a":3}`},
		{"no version", replace(0, `{"a":6}`), fault.Invalid, 9, `{"a":3}`},
		{"not JSON", replace(10, `{"a":`), fault.Invalid, 9, `{"a":3}`},
	} {
		r.expect(x.c, x.kind)
		if got := r.l.Document(); got.Version != x.version || string(got.Body) != x.body {
			t.Errorf("%s: got version %d with %s, want %d with %s", x.name, got.Version, got.Body, x.version, x.body)
		}
	}
	wrongDigest := replace(11, `{"a":7}`)
	wrongDigest.GetReplace().Digest = "0"
	r.expect(wrongDigest, fault.Invalid)
}

// TestReplaceSnapshot guards against a document, its digest or a service rollout
// that is lost in a snapshot.
func TestReplaceSnapshot(t *testing.T) {
	r := newFixture(t)
	r.expect(replace(3, `{"b": [1, 2]}`), "")
	r.expect(serviceRollout("pool", "v2", conf.StageCanary), "")
	data, err := r.l.Snapshot()
	if err != nil {
		t.Fatal(err)
	}
	l := New()
	if err := l.Restore(data); err != nil {
		t.Fatal(err)
	}
	if got := l.Document(); got.Version != 3 || string(got.Body) != `{"b":[1,2]}` || got.Digest != DocumentDigest([]byte(`{"b": [1, 2]}`)) {
		t.Errorf("got version %d with %s after a snapshot", got.Version, got.Body)
	}
	if got := l.ServiceRollouts()["pool"]; got.Target != "v2" || got.Stage != conf.StageCanary {
		t.Errorf("got rollout %+v after a snapshot", got)
	}
}

func serviceRollout(service, target string, stage conf.ServiceRolloutStage) *wire.Command {
	return &wire.Command{Kind: &wire.Command_Shift{Shift: &wire.Shift{Service: service, Target: target, Duration: 12_000, Phase: string(stage)}}}
}

// TestServiceRollout guards against a repeated order that starts a second rollout:
// it is acknowledged while the first is in progress and for a minute after its
// order. It also guards against stages that do not follow the chart.
func TestServiceRollout(t *testing.T) {
	r := newFixture(t)
	for _, x := range []struct {
		name  string
		c     *wire.Command
		kind  fault.Kind
		stage conf.ServiceRolloutStage
	}{
		{"order", serviceRollout("pool", "v2", conf.StageCanary), "", conf.StageCanary},
		{"again", serviceRollout("pool", "v2", conf.StageCanary), "", conf.StageCanary},
		{"another order meanwhile", serviceRollout("pool", "v3", conf.StageCanary), fault.Conflict, conf.StageCanary},
		{"another version moves", serviceRollout("pool", "v3", conf.StageMoving), fault.Conflict, conf.StageCanary},
		{"move", serviceRollout("pool", "v2", conf.StageMoving), "", conf.StageMoving},
		{"move again", serviceRollout("pool", "v2", conf.StageMoving), "", conf.StageMoving},
		{"complete", serviceRollout("pool", "v2", conf.StageComplete), "", conf.StageComplete},
		{"withdrawn too late", serviceRollout("pool", "v2", conf.StageWithdrawn), fault.Conflict, conf.StageComplete},
		{"order sent again", serviceRollout("pool", "v2", conf.StageCanary), "", conf.StageComplete},
		{"next order", serviceRollout("pool", "v3", conf.StageCanary), "", conf.StageCanary},
		{"withdrawn", serviceRollout("pool", "v3", conf.StageWithdrawn), "", conf.StageWithdrawn},
		{"no such rollout", serviceRollout("other", "v3", conf.StageWithdrawn), fault.Conflict, conf.StageWithdrawn},
		{"no target", serviceRollout("pool", "", conf.StageCanary), fault.Invalid, conf.StageWithdrawn},
	} {
		r.expect(x.c, x.kind)
		if got := r.l.ServiceRollouts()["pool"].Stage; got != x.stage {
			t.Errorf("%s: got stage %q, want %q", x.name, got, x.stage)
		}
	}
	r.advance(2 * time.Minute)
	r.expect(serviceRollout("pool", "v3", conf.StageCanary), "")
	if got := r.l.ServiceRollouts()["pool"]; got.Stage != conf.StageCanary || got.Number != 3 {
		t.Errorf("got %+v for an order long after the last one, want a new rollout", got)
	}
}
