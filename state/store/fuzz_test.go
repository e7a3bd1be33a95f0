package store

import (
	"bytes"
	"errors"
	"math/rand/v2"
	"testing"
)

// Guards against a log that crashes the process or yields other entries than
// were written: whatever follows the valid records, the store opens with at
// least those, or reports that the log is damaged.
func FuzzRecoverLog(f *testing.F) {
	f.Add([]byte(nil))
	f.Add([]byte{1, 2, 3})
	f.Add(appendRecord(nil, record{Entry: Entry{Index: 5, Term: 1, Data: []byte("next")}}))
	f.Add(appendRecord(nil, record{Entry: Entry{Index: 9, Term: 9, Data: []byte("gap")}, synced: 1 << 40}))
	f.Fuzz(func(t *testing.T, tail []byte) {
		m := NewMemoryFolder()
		s := mustOpen(t, m)
		appendAndSync(t, s, 1, 4)
		m = m.Crash(rand.New(rand.NewPCG(1, 1)))
		log, err := m.Open(segmentName(1), false)
		if err != nil {
			t.Fatal(err)
		}
		size, err := log.Size()
		if err != nil {
			t.Fatal(err)
		}
		if _, err := log.WriteAt(tail, size); err != nil {
			t.Fatal(err)
		}
		s, err = Open(m, "m1")
		var damaged *Damaged
		switch {
		case errors.As(err, &damaged):
		case err != nil:
			t.Errorf("got %v, want an opened store or damage", err)
		case s.LastIndex() < 4:
			t.Errorf("got last entry %d, want at least the 4 that were synced", s.LastIndex())
		}
	})
}

// Guards against a record that decodes into a different one than was written.
func FuzzRecord(f *testing.F) {
	f.Add(byte(1), byte(0), uint64(7), uint64(3), []byte("data"))
	f.Fuzz(func(t *testing.T, typ, kind byte, index, term uint64, data []byte) {
		want := record{typ: typ, Entry: Entry{Kind: kind, Index: index, Term: term, Data: data}}
		got, ok := parseRecord(appendRecord(nil, want))
		if !ok || got.typ != typ || got.Kind != kind || got.Index != index || got.Term != term || !bytes.Equal(got.Data, data) {
			t.Errorf("got %+v %t, want %+v", got, ok, want)
		}
	})
}
