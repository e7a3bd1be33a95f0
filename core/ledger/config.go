package ledger

import (
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"
	"encoding/json"
	"slices"
	"strings"

	"github.com/rotisserie/eris"

	"citronledge.example/core/conf"
	"citronledge.example/core/fault"
	"citronledge.example/core/ident"
	"citronledge.example/core/wire"
)

// config holds the entries of the configuration. A deleted key stays as an
// entry with gone set, so that deltas can tell of it.
type config struct {
	revision uint64
	floor    uint64 // no delta starts below this revision
	number   uint64 // of the last change
	entries  map[string]*wire.Entry
	gone     int             // deleted entries
	changes  []*wire.Changed // the newest, by number without gaps
}

func newConfig() config { return config{entries: map[string]*wire.Entry{}} }

// ChangeDigest returns the hex SHA-256 over the entries of a change in the order of
// their keys. Each key and value is preceded by its length.
func ChangeDigest(entries []*wire.Entry) string {
	sorted := slices.Clone(entries)
	slices.SortStableFunc(sorted, func(a, b *wire.Entry) int { return strings.Compare(a.GetKey(), b.GetKey()) })
	h := sha256.New()
	var size [8]byte
	put := func(b []byte) {
		binary.BigEndian.PutUint64(size[:], uint64(len(b)))
		h.Write(size[:])
		h.Write(b)
	}
	for _, e := range sorted {
		put([]byte(e.GetKey()))
		if e.GetGone() {
			h.Write([]byte{1})
			continue
		}
		h.Write([]byte{0})
		put(e.GetValue())
	}
	return hex.EncodeToString(h.Sum(nil))
}

// owner tells who may change a key: the operators' folder, commands or the
// platform's member list.
func owner(key string) string {
	section, name, cut := strings.Cut(key, "/")
	switch {
	case key == conf.LimitsKey:
		return "folder"
	case !cut || name == "":
		return ""
	}
	switch section + "/" {
	case conf.CustomersPrefix, conf.ModelsPrefix, conf.CascadesPrefix, conf.RoutesPrefix:
		return "folder"
	case conf.RolloutsPrefix, conf.WithdrawnPrefix:
		return "command"
	case conf.MembersPrefix:
		return "member"
	}
	return ""
}

// check returns an error unless all entries have one owner out of owners and
// every receiver can decode them. One entry that a gate cannot decode would
// keep it from every later revision.
func check(entries []*wire.Entry, owners ...string) error {
	seen := map[string]bool{}
	first := ""
	for _, e := range entries {
		key := e.GetKey()
		who := owner(key)
		if seen[key] {
			return eris.Errorf("key %q occurs twice; send each key once", key)
		}
		if !slices.Contains(owners, who) {
			return eris.Errorf("key %q may not be changed by this command", key)
		}
		if first == "" {
			first = who
		}
		if who != first {
			return eris.Errorf("key %q belongs to another owner than the first; change the folder's keys and those of roll-outs and withdrawals separately", key)
		}
		seen[key] = true
		if err := checkEntry(e); err != nil {
			return err
		}
	}
	return nil
}

func checkEntry(e *wire.Entry) error {
	if name, ok := strings.CutPrefix(e.GetKey(), conf.WithdrawnPrefix); ok {
		if t, err := ident.ParseTarget(name); err != nil || t.Version == "" {
			return eris.Errorf("key %q does not name MODEL/VERSION", e.GetKey())
		}
	}
	if e.GetGone() {
		return nil
	}
	if !json.Valid(e.GetValue()) {
		return eris.Errorf("the value of key %q is not JSON", e.GetKey())
	}
	_, err := conf.EmptyView().Apply(&wire.Delta{Full: true, Entries: []*wire.Entry{e}})
	return err
}

func (l *Ledger) change(c *wire.Command, ch *wire.Change) *wire.Result {
	return l.record(c, "change", subjects(ch.GetEntries()), ch.GetNote(), l.decide(c, ch))
}

// decide applies the rules for the number of a change.
func (l *Ledger) decide(c *wire.Command, ch *wire.Change) *wire.Result {
	cfg := &l.config
	if len(ch.GetEntries()) == 0 {
		return refuse(fault.Invalid, "the change has no entries; nothing to do")
	}
	if want := ChangeDigest(ch.GetEntries()); want != ch.GetDigest() {
		return refuse(fault.Invalid, "the digest of the change does not match its entries; send %s", want)
	}
	switch {
	case ch.GetNumber() > cfg.number+1:
		return refuse(fault.Conflict, "change %d would leave a gap; the next number is %d", ch.GetNumber(), cfg.number+1)
	case ch.GetNumber() <= cfg.number:
		return cfg.answerAgain(ch)
	}
	if err := check(ch.GetEntries(), "folder", "command"); err != nil {
		return refuse(fault.Invalid, "%s", err)
	}
	cfg.number++
	cfg.put(ch.GetEntries())
	done := &wire.Changed{Number: cfg.number, Revision: cfg.revision, Digest: ch.GetDigest(), Actor: c.GetActor()}
	cfg.changes = append(cfg.changes, done)
	if len(cfg.changes) > MaxChanges {
		cfg.changes[0] = nil
		cfg.changes = cfg.changes[1:]
	}
	return &wire.Result{Kind: &wire.Result_Changed{Changed: done}}
}

// answerAgain answers a change whose number was used before.
func (cfg *config) answerAgain(ch *wire.Change) *wire.Result {
	first := cfg.number - uint64(len(cfg.changes)) + 1
	if ch.GetNumber() < first {
		return refuse(fault.Conflict, "change %d is too old to be compared; the next number is %d", ch.GetNumber(), cfg.number+1)
	}
	won := cfg.changes[ch.GetNumber()-first]
	again := &wire.Changed{Number: won.GetNumber(), Revision: won.GetRevision(), Digest: won.GetDigest(), Actor: won.GetActor(), Repeat: true}
	r := &wire.Result{Kind: &wire.Result_Changed{Changed: again}}
	if won.GetDigest() != ch.GetDigest() {
		again.Repeat = false
		r.Fault = refuse(fault.Conflict, "change %d was made by %s with digest %s; compare with it and use number %d",
			won.GetNumber(), won.GetActor(), won.GetDigest(), cfg.number+1).Fault
	}
	return r
}

// members puts the differences of the platform's list. A list without any
// difference makes no new revision.
func (l *Ledger) members(c *wire.Command, m *wire.Members) *wire.Result {
	if err := check(m.GetEntries(), "member"); err != nil {
		return l.record(c, "members", subjects(m.GetEntries()), "", refuse(fault.Invalid, "%s", err))
	}
	var fresh []*wire.Entry
	for _, e := range m.GetEntries() {
		old, ok := l.config.entries[e.GetKey()]
		switch {
		case e.GetGone() && (!ok || old.GetGone()):
		case !e.GetGone() && ok && !old.GetGone() && string(old.GetValue()) == string(e.GetValue()):
		default:
			fresh = append(fresh, e)
		}
	}
	r := &wire.Result{}
	if len(fresh) > 0 {
		l.config.put(fresh)
	}
	r.Kind = &wire.Result_Changed{Changed: &wire.Changed{
		Number: l.config.number, Revision: l.config.revision, Actor: c.GetActor(), Repeat: len(fresh) == 0,
	}}
	return l.record(c, "members", subjects(m.GetEntries()), "", r)
}

// put stores entries as one new revision.
func (cfg *config) put(entries []*wire.Entry) {
	cfg.revision++
	for _, e := range entries {
		if cfg.entries[e.GetKey()].GetGone() {
			cfg.gone--
		}
		next := &wire.Entry{Key: e.GetKey(), Gone: e.GetGone(), Revision: cfg.revision}
		if next.Gone {
			cfg.gone++
		} else {
			next.Value = e.GetValue()
		}
		cfg.entries[next.Key] = next
	}
	if cfg.gone > MaxDeletedKeys {
		cfg.forget()
	}
}

// forget drops the older half of the deleted keys and raises the floor.
func (cfg *config) forget() {
	var gone []*wire.Entry
	for _, e := range cfg.entries {
		if e.GetGone() {
			gone = append(gone, e)
		}
	}
	slices.SortFunc(gone, func(a, b *wire.Entry) int {
		if a.GetRevision() != b.GetRevision() {
			return int(int64(a.GetRevision()) - int64(b.GetRevision()))
		}
		return strings.Compare(a.GetKey(), b.GetKey())
	})
	for _, e := range gone[:len(gone)/2] {
		delete(cfg.entries, e.GetKey())
		cfg.floor = max(cfg.floor, e.GetRevision())
		cfg.gone--
	}
}

// live tells whether a key exists.
func (cfg *config) live(key string) bool {
	e, ok := cfg.entries[key]
	return ok && !e.GetGone()
}

// subjects names the keys of a change, shortened to a line.
func subjects(entries []*wire.Entry) string {
	const most = 8
	var b strings.Builder
	for i, e := range entries {
		if i == most {
			b.WriteString(" …")
			break
		}
		if i > 0 {
			b.WriteByte(' ')
		}
		if e.GetGone() {
			b.WriteByte('-')
		}
		b.WriteString(e.GetKey())
	}
	return b.String()
}

// Revision returns the revision of the configuration.
func (l *Ledger) Revision() uint64 {
	l.mu.RLock()
	defer l.mu.RUnlock()
	return l.config.revision
}

// LastChangeNumber returns the number of the last change.
func (l *Ledger) LastChangeNumber() uint64 {
	l.mu.RLock()
	defer l.mu.RUnlock()
	return l.config.number
}

// Delta returns the entries after a revision, by key. It is full when from is
// 0, too old, or from another history.
func (l *Ledger) Delta(from uint64) *wire.Delta {
	l.mu.RLock()
	defer l.mu.RUnlock()
	cfg := &l.config
	d := &wire.Delta{From: from, Revision: cfg.revision}
	if from == 0 || from < cfg.floor || from > cfg.revision {
		d.From, d.Full = 0, true
	}
	for _, e := range cfg.entries {
		if e.GetRevision() > d.From && !(d.Full && e.GetGone()) {
			d.Entries = append(d.Entries, e)
		}
	}
	slices.SortFunc(d.Entries, func(a, b *wire.Entry) int { return strings.Compare(a.GetKey(), b.GetKey()) })
	return d
}
