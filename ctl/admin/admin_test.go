package admin

import (
	"bytes"
	"context"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"google.golang.org/protobuf/proto"

	"citronledge.example/core/conf"
	"citronledge.example/core/fault"
	"citronledge.example/core/ledger"
	"citronledge.example/core/wire"
)

// cluster is a state cluster with a single ledger.
type cluster struct {
	ledger        *ledger.Ledger
	index         uint64
	beforePropose func() // runs once, before the next proposal
	loseAnswer    bool   // drops the answer of the next proposal
}

func (c *cluster) Propose(_ context.Context, cmd *wire.Command) (*wire.Result, error) {
	if f := c.beforePropose; f != nil {
		c.beforePropose = nil
		f()
	}
	data, err := proto.Marshal(cmd)
	if err != nil {
		return nil, err
	}
	c.index++
	var r wire.Result
	if err := proto.Unmarshal(c.ledger.Apply(c.index, data), &r); err != nil {
		return nil, err
	}
	if c.loseAnswer {
		c.loseAnswer = false
		return nil, fault.New(fault.Unknown, "no answer")
	}
	return &r, nil
}

func (c *cluster) Query(_ context.Context, q *wire.Query) (*wire.Answer, error) {
	switch q := q.GetKind().(type) {
	case *wire.Query_Config:
		return &wire.Answer{Config: c.ledger.Delta(0), Number: c.ledger.LastChangeNumber()}, nil
	case *wire.Query_Wait:
		return &wire.Answer{Waited: &wire.Waited{Done: true, Expired: []string{"gate-9"}, Elapsed: 42}}, nil
	case *wire.Query_Audit:
		return &wire.Answer{Audits: c.ledger.Audits(q.Audit.GetAfter(), int(q.Audit.GetLimit()))}, nil
	}
	return &wire.Answer{Status: &wire.Status{Leader: "state-1", Number: c.ledger.LastChangeNumber(), Revision: c.ledger.Revision()}}, nil
}

const (
	base = "customers:\n  north: {keys: [" + digest + "], models: [small]}\nmodels:\n  small: {input: 1, output: 2, quality: 0.7, versions: [v1, v2]}\n"
	// digest belongs to no key that is in use.
	digest = "0123456789abcdef0123456789abcdef0123456789abcdef0123456789abcdef"
)

// writeFolder writes each text to a settings file of its own.
func writeFolder(t *testing.T, files ...string) string {
	t.Helper()
	dir := t.TempDir()
	for i, data := range files {
		if err := os.WriteFile(filepath.Join(dir, string(rune('a'+i))+".yaml"), []byte(data), 0o600); err != nil {
			t.Fatal(err)
		}
	}
	return dir
}

// ctl runs one command line and returns its exit code and output.
func ctl(c *cluster, line ...string) (int, string) {
	var out bytes.Buffer
	connect := func(context.Context, []string, string) (Cluster, string, error) { return c, "ana", nil }
	i := 1
	if line[0] == "rollout" {
		i = 2
	}
	args := append(append(append([]string{}, line[:i]...), "--state", "x:1", "--keys", "k"), line[i:]...)
	code := Run(context.Background(), args, connect, &out, &out)
	return code, out.String()
}

// Wrong input must be rejected, and each command must return its exit code.
func TestCommands(t *testing.T) {
	dir := writeFolder(t, base)
	tests := map[string]struct {
		line []string
		code int
		want string
	}{
		"apply":                 {[]string{"apply", dir}, ExitDone, "no change"},
		"apply bad folder":      {[]string{"apply", writeFolder(t, base, "models: {small: {price: 1}}")}, ExitUsage, "b.yaml:1: models/small/price: unknown field"},
		"apply nothing":         {[]string{"apply", writeFolder(t)}, ExitUsage, "no .yaml file"},
		"flag after argument":   {[]string{"apply", dir, "--wait"}, ExitUsage, "flags go before"},
		"withdraw and wait":     {[]string{"withdraw", "--wait", "small", "v2"}, ExitDone, "lease of gate-9 had to expire"},
		"withdraw unknown":      {[]string{"withdraw", "small", "v9"}, ExitUsage, "small/v9 does not exist"},
		"restore":               {[]string{"restore", "small", "v2"}, ExitUsage, "not withdrawn"},
		"rollout":               {[]string{"rollout", "start", "small", "v1", "v2"}, ExitDone, "accepted as change 2"},
		"rollout bad steps":     {[]string{"rollout", "start", "--steps", "0.5,0.1", "small", "v1", "v2"}, ExitUsage, "steps must grow"},
		"rollout to itself":     {[]string{"rollout", "start", "small", "v1", "v1"}, ExitUsage, "name two versions"},
		"rollout step too soon": {[]string{"rollout", "step", "small"}, ExitUsage, "has no roll-out"},
		"evacuate":              {[]string{"evacuate", "zone-b", "begin"}, ExitDone, "zone zone-b is being evacuated, revision 2"},
		"evacuate and wait":     {[]string{"evacuate", "--wait", "zone-b", "begin"}, ExitDone, "in force everywhere"},
		"evacuate, over":        {[]string{"evacuate", "zone-b", "finish"}, ExitDone, "zone zone-b is not being evacuated already"},
		"evacuate wrong word":   {[]string{"evacuate", "zone-b", "stop"}, ExitUsage, "neither begin nor finish"},
		"evacuate bad zone":     {[]string{"evacuate", "zone/b", "begin"}, ExitUsage, "slash"},
		"settle unknown id":     {[]string{"settle", "a/b/c", "ran"}, ExitFailed, "not on record"},
		"settle wrong word":     {[]string{"settle", "a/b/c", "maybe"}, ExitUsage, "neither ran nor notrun"},
		"audit":                 {[]string{"audit"}, ExitDone, "ana"},
		"unknown command":       {[]string{"aply", dir}, ExitUsage, ""},
		"status as JSON":        {[]string{"status", "--json"}, ExitDone, `"leader":"state-1"`},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			c := &cluster{ledger: ledger.New()}
			if code, out := ctl(c, "apply", dir); code != ExitDone {
				t.Fatalf("first apply: got code %d, %s", code, out)
			}
			code, out := ctl(c, tt.line...)
			if code != tt.code || !strings.Contains(strings.ReplaceAll(out, ": ", ":"), strings.ReplaceAll(tt.want, ": ", ":")) {
				t.Errorf("got code %d, %s, want code %d, %s", code, out, tt.code, tt.want)
			}
		})
	}
}

// When the changes of two operators get the same number, one is applied. The
// other operator must get an error, and no part of that change may be applied.
func TestApplyRace(t *testing.T) {
	c := &cluster{ledger: ledger.New()}
	first := writeFolder(t, base)
	second := writeFolder(t, base, "customers: {north: {weight: 7}}")
	c.beforePropose = func() {
		if code, out := ctl(c, "apply", first); code != ExitDone {
			t.Errorf("winner: got code %d, %s", code, out)
		}
	}
	code, out := ctl(c, "apply", second)
	if code != ExitConflict || !strings.Contains(out, "made by ana") {
		t.Errorf("loser: got code %d, %s, want code %d that names the winner", code, out, ExitConflict)
	}
	v, err := conf.EmptyView().Apply(c.ledger.Delta(0))
	if err != nil || v.Customers["north"].Weight != 0 {
		t.Errorf("got weight %d and %v, want the winner's configuration", v.Customers["north"].Weight, err)
	}
	if code, out := ctl(c, "apply", second); code != ExitDone || !strings.Contains(out, "change 2") {
		t.Errorf("second try: got code %d, %s", code, out)
	}
}

// A command that is repeated after a lost answer must not make a second change.
func TestApplyLostAnswer(t *testing.T) {
	c := &cluster{ledger: ledger.New(), loseAnswer: true}
	dir := writeFolder(t, base)
	if code, out := ctl(c, "apply", dir); code != ExitUnknown {
		t.Errorf("got code %d, %s, want %d", code, out, ExitUnknown)
	}
	if code, out := ctl(c, "apply", dir); code != ExitDone || c.ledger.LastChangeNumber() != 1 {
		t.Errorf("got code %d, %s and number %d, want one change", code, out, c.ledger.LastChangeNumber())
	}
}

// Apply must not undo a withdrawal, and a withdrawal must revert the rollout to
// the withdrawn version.
func TestApplyKeepsWithdrawal(t *testing.T) {
	c := &cluster{ledger: ledger.New()}
	dir := writeFolder(t, base)
	for _, line := range [][]string{
		{"apply", dir},
		{"rollout", "start", "small", "v1", "v2"},
		{"withdraw", "--reason", "wrong answers", "small", "v2"},
		{"apply", writeFolder(t, base, "customers: {north: {weight: 3}}")},
	} {
		if code, out := ctl(c, line...); code != ExitDone {
			t.Fatalf("%v: got code %d, %s", line, code, out)
		}
	}
	v, err := conf.EmptyView().Apply(c.ledger.Delta(0))
	if err != nil {
		t.Fatal(err)
	}
	if got := v.AllowedVersions("north", "small"); len(got) != 1 || got[0] != "v1" {
		t.Errorf("got versions %v, want only v1", got)
	}
	if got := v.Rollouts["small"].Phase; got != conf.RolloutReverted {
		t.Errorf("got rollout %s, want %s", got, conf.RolloutReverted)
	}
}

// An operator must see which zones are being evacuated, and apply must not end an
// evacuation.
func TestEvacuationInStatus(t *testing.T) {
	c := &cluster{ledger: ledger.New()}
	for _, line := range [][]string{{"evacuate", "zone-b", "begin"}, {"apply", writeFolder(t, base)}} {
		if code, out := ctl(c, line...); code != ExitDone {
			t.Fatalf("%v: got code %d, %s", line, code, out)
		}
	}
	if code, out := ctl(c, "status"); code != ExitDone || !strings.Contains(out, "EVACUATED ZONE") || !strings.Contains(out, "zone-b") {
		t.Errorf("got code %d, %s, want the evacuated zone", code, out)
	}
	if code, out := ctl(c, "evacuate", "zone-b", "finish"); code != ExitDone {
		t.Fatalf("got code %d, %s", code, out)
	}
	if code, out := ctl(c, "status"); code != ExitDone || strings.Contains(out, "zone-b") {
		t.Errorf("got code %d, %s, want no evacuated zone", code, out)
	}
}
