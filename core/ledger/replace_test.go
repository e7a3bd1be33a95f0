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

// The highest version wins; a version that is held with other content is never
// overwritten, and what was acknowledged once is acknowledged again.
func TestReplace(t *testing.T) {
	r := newRig(t)
	for _, x := range []struct {
		name    string
		c       *wire.Command
		kind    fault.Kind
		version uint64
		body    string
	}{
		{"first", replace(4, `{"a":1}`), "", 4, `{"a":1}`},
		{"again", replace(4, `{"a":1}`), "", 4, `{"a":1}`},
		{"held with other content", replace(4, `{"a":2}`), fault.Conflict, 4, `{"a":1}`},
		{"higher", replace(9, `{"a":3}`), "", 9, `{"a":3}`},
		{"overtaken", replace(4, `{"a":1}`), "", 9, `{"a":3}`},
		{"overtaken, never seen", replace(8, `{"a":5}`), "", 9, `{"a":3}`},
		{"no version", replace(0, `{"a":6}`), fault.Invalid, 9, `{"a":3}`},
		{"not JSON", replace(10, `{"a":`), fault.Invalid, 9, `{"a":3}`},
	} {
		r.want(x.c, x.kind)
		if got := r.l.Document(); got.Version != x.version || string(got.Body) != x.body {
			t.Errorf("%s: got version %d with %s, want %d with %s", x.name, got.Version, got.Body, x.version, x.body)
		}
	}
	spoilt := replace(11, `{"a":7}`)
	spoilt.GetReplace().Digest = "0"
	r.want(spoilt, fault.Invalid)
}

// A document and its digest survive a snapshot.
func TestReplaceSnapshot(t *testing.T) {
	r := newRig(t)
	r.want(replace(3, `{"b": [1, 2]}`), "")
	r.want(shift("pool", "v2", conf.StageCanary), "")
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
		t.Errorf("got roll-out %+v after a snapshot", got)
	}
}

func shift(service, target string, stage conf.ServiceRolloutStage) *wire.Command {
	return &wire.Command{Kind: &wire.Command_Shift{Shift: &wire.Shift{Service: service, Target: target, Duration: 12_000, Phase: string(stage)}}}
}

// An order is acknowledged again while it runs and for a while afterwards;
// stages follow the chart.
func TestShift(t *testing.T) {
	r := newRig(t)
	for _, x := range []struct {
		name  string
		c     *wire.Command
		kind  fault.Kind
		stage conf.ServiceRolloutStage
	}{
		{"order", shift("pool", "v2", conf.StageCanary), "", conf.StageCanary},
		{"again", shift("pool", "v2", conf.StageCanary), "", conf.StageCanary},
		{"another meanwhile", shift("pool", "v3", conf.StageCanary), fault.Conflict, conf.StageCanary},
		{"another version moves", shift("pool", "v3", conf.StageMoving), fault.Conflict, conf.StageCanary},
		{"move", shift("pool", "v2", conf.StageMoving), "", conf.StageMoving},
		{"move again", shift("pool", "v2", conf.StageMoving), "", conf.StageMoving},
		{"complete", shift("pool", "v2", conf.StageComplete), "", conf.StageComplete},
		{"withdrawn too late", shift("pool", "v2", conf.StageWithdrawn), fault.Conflict, conf.StageComplete},
		{"order sent again", shift("pool", "v2", conf.StageCanary), "", conf.StageComplete},
		{"next order", shift("pool", "v3", conf.StageCanary), "", conf.StageCanary},
		{"withdrawn", shift("pool", "v3", conf.StageWithdrawn), "", conf.StageWithdrawn},
		{"no such roll-out", shift("other", "v3", conf.StageWithdrawn), fault.Conflict, conf.StageWithdrawn},
		{"no target", shift("pool", "", conf.StageCanary), fault.Invalid, conf.StageWithdrawn},
	} {
		r.want(x.c, x.kind)
		if got := r.l.ServiceRollouts()["pool"].Stage; got != x.stage {
			t.Errorf("%s: got stage %q, want %q", x.name, got, x.stage)
		}
	}
	r.pass(2 * time.Minute)
	r.want(shift("pool", "v3", conf.StageCanary), "")
	if got := r.l.ServiceRollouts()["pool"]; got.Stage != conf.StageCanary || got.Number != 3 {
		t.Errorf("got %+v for an order long after the end of the last, want a new roll-out", got)
	}
}
