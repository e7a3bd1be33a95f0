package conf

import (
	"fmt"
	"strings"
	"testing"

	"citronledge.example/core/ident"
	"citronledge.example/core/wire"
)

const baseSettings = `
customers:
  north:
    weight: 4
    keys: [aaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaa]
    models: [small, large/v1]
    routes: [payouts]
    cascade: quick
models:
  small: {input: 0.1, output: 0.4, quality: 0.7, versions: [v1, v2]}
  large: {input: 1, output: 4, quality: 0.9, versions: [v1]}
cascades:
  quick: {steps: [small, large], target: 0.8}
routes:
  payouts: {path: /v1/payouts, methods: [POST], service: pay, business: [account, day]}
`

func mergeFiles(t *testing.T, files ...string) *Folder {
	t.Helper()
	var list []File
	for i, data := range files {
		list = append(list, File{Name: fmt.Sprintf("%02d.yaml", i), Data: []byte(data)})
	}
	return Merge(list)
}

// TestMergeOrder guards against a later file that replaces a whole mapping, and
// against a result that depends on the order in which the files are read.
func TestMergeOrder(t *testing.T) {
	tests := map[string]struct {
		late, path, want, origin string
	}{
		"field overridden":           {"customers: {north: {weight: 9}}", "customers/north/weight", "9", "01.yaml:1"},
		"other fields stay":          {"customers: {north: {weight: 9}}", "customers/north/cascade", "quick", "00.yaml:8"},
		"list replaced":              {"models:\n  small: {versions: [v3]}", "models/small/versions", "[v3]", "01.yaml:2"},
		"null removes a field":       {"customers: {north: {weight: null}}", "customers/north/weight", "", ""},
		"null removes an item":       {"routes: {payouts: null}", "routes/payouts/path", "", ""},
		"empty file changes nothing": {"", "models/large/quality", "0.9", "00.yaml:11"},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			f := Merge([]File{{Name: "01.yaml", Data: []byte(tt.late)}, {Name: "00.yaml", Data: []byte(baseSettings)}})
			got, origin := "", ""
			for _, leaf := range f.Leaves() {
				if leaf.Path == tt.path {
					got, origin = fmt.Sprint(leaf.Value), leaf.Position.String()
				}
			}
			if got != tt.want || origin != tt.origin {
				t.Errorf("got %q from %q, want %q from %q", got, origin, tt.want, tt.origin)
			}
		})
	}
}

// TestCheck guards against a faulty folder that is accepted, and against messages
// that do not name the file and line to correct.
func TestCheck(t *testing.T) {
	tests := map[string]struct{ late, want string }{
		"good":               {"", ""},
		"syntax":             {"customers: [", "01.yaml"},
		"unknown section":    {"customer: {}", "01.yaml:1: customer: unknown section"},
		"unknown field":      {"models:\n  small:\n    price: 1", "01.yaml:3: models/small/price: unknown field"},
		"wrong type":         {"customers: {north: {weight: many}}", "01.yaml:1: customers/north/weight: is a string; write a whole number"},
		"wrong element":      {"models: {small: {versions: [1]}}", "01.yaml:1: models/small/versions"},
		"not a mapping":      {"models: {small: 3}", "must be a mapping"},
		"list as file":       {"- a", "01.yaml:1: a settings file is a mapping"},
		"set twice":          {"limits:\n  body: 1\n  body: 2", "01.yaml"},
		"anchor":             {"limits: &x {body: 1}", "anchors, aliases and tags"},
		"unknown model":      {"customers: {north: {models: [none]}}", `model "none" does not exist`},
		"unknown version":    {"customers: {north: {models: [small/v9, large, small]}}", `no version "v9"`},
		"cascade not given":  {"customers: {north: {models: [small]}}", "uses model large, which is not allowed"},
		"same key":           {"customers: {south: {keys: [AAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAA]}}", "belongs to customer north"},
		"plain key":          {"customers: {north: {keys: [secret]}}", "hex SHA-256 digest"},
		"bad name":           {"customers: {North: {keys: []}}", "names are 1 to 63"},
		"reserved model":     {"models: {auto: {versions: [v1]}}", "choose another name"},
		"reserved path":      {"routes: {payouts: {path: /v1/models/x}}", "served by the gate"},
		"repeatable lookup":  {"routes: {payouts: {repeatable: true}}", "may not be repeated"},
		"quality over one":   {"models: {small: {quality: 1.5}}", "between 0 and 1"},
		"negative limit":     {"limits: {queue: -1}", "must not be negative"},
		"empty versions":     {"models: {large: {versions: []}}", "list at least one version"},
		"cascade step twice": {"cascades: {quick: {steps: [small, small]}}", "listed twice"},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			problems := mergeFiles(t, baseSettings, tt.late).Check()
			got := ""
			for _, p := range problems {
				got += p.Error() + "\n"
			}
			if tt.want == "" && got != "" {
				t.Errorf("got %s, want no problem", got)
			}
			if !strings.Contains(got, tt.want) {
				t.Errorf("got %s, want %s", got, tt.want)
			}
		})
	}
}

func mustView(t *testing.T, f *Folder) *View {
	t.Helper()
	entries, err := f.Entries()
	if err != nil {
		t.Fatal(err)
	}
	v, err := EmptyView().Apply(&wire.Delta{Revision: 1, Entries: entries})
	if err != nil {
		t.Fatal(err)
	}
	return v
}

// TestDiffLeavesCommandKeys guards against a diff that undoes a withdrawal or a
// rollout, which are not part of the folder.
func TestDiffLeavesCommandKeys(t *testing.T) {
	v := mustView(t, mergeFiles(t, baseSettings))
	v, err := v.Apply(&wire.Delta{From: 1, Revision: 2, Entries: []*wire.Entry{
		{Key: WithdrawnPrefix + "small/v2", Value: []byte(`{"reason":"wrong answers"}`)},
		{Key: RolloutsPrefix + "small", Value: []byte(`{"from":"v1","to":"v2","phase":"halted"}`)},
	}})
	if err != nil {
		t.Fatal(err)
	}
	entries, err := mergeFiles(t, baseSettings, "routes: {payouts: null}\ncustomers: {north: {routes: null, weight: 5}}").Entries()
	if err != nil {
		t.Fatal(err)
	}
	var got []string
	for _, e := range Diff(v, entries) {
		got = append(got, fmt.Sprintf("%s gone=%t", e.Key, e.Gone))
	}
	want := "[customers/north gone=false routes/payouts gone=true]"
	if fmt.Sprint(got) != want {
		t.Errorf("got %v, want %v", got, want)
	}
}

// TestIsAllowed guards against a request to a target that the customer may not use
// or that is withdrawn.
func TestIsAllowed(t *testing.T) {
	v := mustView(t, mergeFiles(t, baseSettings))
	v, err := v.Apply(&wire.Delta{From: 1, Revision: 2, Entries: []*wire.Entry{
		{Key: WithdrawnPrefix + "small/v2", Value: []byte(`{}`)},
	}})
	if err != nil {
		t.Fatal(err)
	}
	tests := map[string]struct {
		customer ident.Customer
		target   ident.Target
		want     bool
	}{
		"whole model":      {"north", ident.Target{Model: "small", Version: "v1"}, true},
		"withdrawn":        {"north", ident.Target{Model: "small", Version: "v2"}, false},
		"single version":   {"north", ident.Target{Model: "large", Version: "v1"}, true},
		"no version":       {"north", ident.Target{Model: "small"}, false},
		"unknown version":  {"north", ident.Target{Model: "small", Version: "v9"}, false},
		"unknown customer": {"south", ident.Target{Model: "small", Version: "v1"}, false},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			if got := v.IsAllowed(tt.customer, tt.target); got != tt.want {
				t.Errorf("got %t, want %t", got, tt.want)
			}
		})
	}
}

// TestApplyGap guards against a delta that skips a revision, after which the receiver
// would use a configuration that was never in force.
func TestApplyGap(t *testing.T) {
	v := mustView(t, mergeFiles(t, baseSettings))
	if _, err := v.Apply(&wire.Delta{From: 3, Revision: 4}); err == nil {
		t.Error("got no error, want one for a delta from revision 3 on revision 1")
	}
	full := v.FullDelta()
	full.Revision = 7
	next, err := EmptyView().Apply(full)
	if err != nil || next.Revision != 7 || fmt.Sprint(next.Keys()) != fmt.Sprint(v.Keys()) {
		t.Errorf("got %v %v, want the same keys at revision 7", next.Keys(), err)
	}
}

func TestMatchRoute(t *testing.T) {
	v := mustView(t, mergeFiles(t, baseSettings, "routes: {one: {path: /v1/payouts/by-key, methods: [GET], service: pay, repeatable: true}}"))
	tests := map[string]struct {
		method, path string
		want         ident.Route
	}{
		"exact":          {"POST", "/v1/payouts", "payouts"},
		"below":          {"POST", "/v1/payouts/x", "payouts"},
		"longest prefix": {"GET", "/v1/payouts/by-key/k", "one"},
		"other method":   {"GET", "/v1/payouts", ""},
		"not a segment":  {"POST", "/v1/payoutsx", ""},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			if got, _ := v.MatchRoute(tt.method, tt.path); got != tt.want {
				t.Errorf("got %q, want %q", got, tt.want)
			}
		})
	}
}

// FuzzMerge guards against a merge that panics on some input, or whose result depends
// on the order in which the files are given.
func FuzzMerge(f *testing.F) {
	f.Add([]byte(baseSettings), []byte("customers: {north: {weight: 9}}"))
	f.Add([]byte("a: [1, {b: c}]"), []byte("a: {b: null}"))
	f.Add([]byte("? x\n: y"), []byte("- 1\n---\nb: 2"))
	f.Fuzz(func(t *testing.T, a, b []byte) {
		one := Merge([]File{{Name: "a", Data: a}, {Name: "b", Data: b}})
		two := Merge([]File{{Name: "b", Data: b}, {Name: "a", Data: a}})
		if got, want := fmt.Sprint(one.Leaves()), fmt.Sprint(two.Leaves()); got != want {
			t.Errorf("got %s, want %s", got, want)
		}
		first, err := one.Entries()
		if err != nil {
			return
		}
		second, err := two.Entries()
		if err != nil || fmt.Sprint(first) != fmt.Sprint(second) {
			t.Errorf("got %v %v, want %v", second, err, first)
		}
	})
}
