package conf

import (
	"fmt"
	"math/rand/v2"
	"reflect"
	"testing"

	"citronledge.example/core/wire"
)

// A view that shares sections with the one before must be the same as one
// that is decoded from the whole configuration, and must leave the old one as
// it was.
func TestApplySteps(t *testing.T) {
	rng := rand.New(rand.NewPCG(1, 2))
	sections := []string{
		Customers + "%d", Models + "%d", Cascades + "%d", Routes + "%d", Rollouts + "%d", Withdrawn + "m/%d", Members + "%d", Limited, "later/%d",
	}
	values := []string{`{}`, `{"weight":2,"keys":["%064d"]}`, `{"quality":0.5,"versions":["v1"]}`, `{"addr":"10.0.0.1:1"}`, `{"body":7}`}
	v := Empty()
	for range 500 {
		d := &wire.Delta{From: uint64(v.Revision), Revision: uint64(v.Revision) + 1}
		for range 1 + rng.IntN(3) {
			key, number := sections[rng.IntN(len(sections))], rng.IntN(4)
			if key != Limited {
				key = fmt.Sprintf(key, number)
			}
			value := values[rng.IntN(len(values))]
			if value == values[1] {
				value = fmt.Sprintf(value, number) // no two customers have the same key
			}
			d.Entries = append(d.Entries, &wire.Entry{Key: key, Value: []byte(value), Gone: rng.IntN(3) == 0})
		}
		before, err := Empty().Apply(v.Full())
		if err != nil {
			t.Fatal(err)
		}
		got, err := v.Apply(d)
		if err != nil {
			t.Fatal(err)
		}
		want, err := Empty().Apply(got.Full())
		if err != nil {
			t.Fatal(err)
		}
		if !reflect.DeepEqual(got, want) {
			t.Fatalf("got %v after %v, want %v", got.Full(), d, want.Full())
		}
		if !reflect.DeepEqual(v, before) {
			t.Fatalf("got the old view changed to %v, want %v", v.Full(), before.Full())
		}
		v = got
	}
}
