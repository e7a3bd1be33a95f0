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
// entry with Gone set, so that deltas include the deletion.
type config struct {
	revision         uint64
	deltaFloor       uint64 // the lowest revision that a partial delta may start from
	lastChangeNumber uint64
	entries          map[string]*wire.Entry
	deletedCount     int             // entries with Gone set
	changes          []*wire.Changed // the most recent, by number without gaps, at most MaxChanges
}

func newConfig() config { return config{entries: map[string]*wire.Entry{}} }

// ChangeDigest returns the hex SHA-256 digest of the entries of a change, in the
// order of their keys. Each key and value is preceded by its length as a 64-bit
// big-endian integer; a byte after the key is 1 for a deletion and 0 otherwise.
func ChangeDigest(entries []*wire.Entry) string {
	sorted := slices.Clone(entries)
	slices.SortStableFunc(sorted, func(a, b *wire.Entry) int { return strings.Compare(a.GetKey(), b.GetKey()) })
	h := sha256.New()
	var size [8]byte
	writeField := func(b []byte) {
		binary.BigEndian.PutUint64(size[:], uint64(len(b)))
		h.Write(size[:])
		h.Write(b)
	}
	for _, e := range sorted {
		writeField([]byte(e.GetKey()))
		if e.GetGone() {
			h.Write([]byte{1})
			continue
		}
		h.Write([]byte{0})
		writeField(e.GetValue())
	}
	return hex.EncodeToString(h.Sum(nil))
}

// keyOwner returns who may change a key: "folder" for the operators' settings
// folder, "command" for commands, "member" for the platform's member list, or ""
// for no one.
func keyOwner(key string) string {
	section, name, hasName := strings.Cut(key, "/")
	switch {
	case key == conf.LimitsKey:
		return "folder"
	case !hasName || name == "":
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

// checkEntries returns an error unless all entries have the same owner, which is
// one of owners, and every receiver can decode them. A gate that cannot decode
// one entry could not apply any later revision.
func checkEntries(entries []*wire.Entry, owners ...string) error {
	seen := map[string]bool{}
	first := ""
	for _, e := range entries {
		key := e.GetKey()
		entryOwner := keyOwner(key)
		if seen[key] {
			return eris.Errorf("key %q occurs twice; send each key once", key)
		}
		if !slices.Contains(owners, entryOwner) {
			return eris.Errorf("key %q may not be changed by this command", key)
		}
		if first == "" {
			first = entryOwner
		}
		if entryOwner != first {
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
	return l.recordAudit(c, "change", auditSubject(ch.GetEntries()), ch.GetNote(), l.tryChange(c, ch))
}

// tryChange applies a change. The number of a change must follow that of the
// last one without a gap; a used number is answered by answerRepeat.
func (l *Ledger) tryChange(c *wire.Command, ch *wire.Change) *wire.Result {
	cfg := &l.config
	if len(ch.GetEntries()) == 0 {
		return refuse(fault.Invalid, "the change has no entries; nothing to do")
	}
	if want := ChangeDigest(ch.GetEntries()); want != ch.GetDigest() {
		return refuse(fault.Invalid, "the digest of the change does not match its entries; send %s", want)
	}
	switch {
	case ch.GetNumber() > cfg.lastChangeNumber+1:
		return refuse(fault.Conflict, "change %d would leave a gap; the next number is %d", ch.GetNumber(), cfg.lastChangeNumber+1)
	case ch.GetNumber() <= cfg.lastChangeNumber:
		return cfg.answerRepeat(ch)
	}
	if err := checkEntries(ch.GetEntries(), "folder", "command"); err != nil {
		return refuse(fault.Invalid, "%s", err)
	}
	cfg.lastChangeNumber++
	cfg.store(ch.GetEntries())
	done := &wire.Changed{Number: cfg.lastChangeNumber, Revision: cfg.revision, Digest: ch.GetDigest(), Actor: c.GetActor()}
	cfg.changes = append(cfg.changes, done)
	if len(cfg.changes) > MaxChanges {
		cfg.changes[0] = nil
		cfg.changes = cfg.changes[1:]
	}
	return &wire.Result{Kind: &wire.Result_Changed{Changed: done}}
}

// answerRepeat answers a change whose number is already used: it repeats the
// result for the same digest and refuses a different one.
func (cfg *config) answerRepeat(ch *wire.Change) *wire.Result {
	first := cfg.lastChangeNumber - uint64(len(cfg.changes)) + 1
	if ch.GetNumber() < first {
		return refuse(fault.Conflict, "change %d is too old to be compared; the next number is %d", ch.GetNumber(), cfg.lastChangeNumber+1)
	}
	won := cfg.changes[ch.GetNumber()-first]
	again := &wire.Changed{Number: won.GetNumber(), Revision: won.GetRevision(), Digest: won.GetDigest(), Actor: won.GetActor(), Repeat: true}
	r := &wire.Result{Kind: &wire.Result_Changed{Changed: again}}
	if won.GetDigest() != ch.GetDigest() {
		again.Repeat = false
		r.Fault = refuse(fault.Conflict, "change %d was made by %s with digest %s; compare with it and use number %d",
			won.GetNumber(), won.GetActor(), won.GetDigest(), cfg.lastChangeNumber+1).Fault
	}
	return r
}

// updateMembers stores the entries that differ from the held member list. If
// none differs, the revision stays.
func (l *Ledger) updateMembers(c *wire.Command, m *wire.Members) *wire.Result {
	if err := checkEntries(m.GetEntries(), "member"); err != nil {
		return l.recordAudit(c, "members", auditSubject(m.GetEntries()), "", refuse(fault.Invalid, "%s", err))
	}
	var updated []*wire.Entry
	for _, e := range m.GetEntries() {
		old, ok := l.config.entries[e.GetKey()]
		switch {
		case e.GetGone() && (!ok || old.GetGone()):
		case !e.GetGone() && ok && !old.GetGone() && string(old.GetValue()) == string(e.GetValue()):
		default:
			updated = append(updated, e)
		}
	}
	r := &wire.Result{}
	if len(updated) > 0 {
		l.config.store(updated)
	}
	r.Kind = &wire.Result_Changed{Changed: &wire.Changed{
		Number: l.config.lastChangeNumber, Revision: l.config.revision, Actor: c.GetActor(), Repeat: len(updated) == 0,
	}}
	return l.recordAudit(c, "members", auditSubject(m.GetEntries()), "", r)
}

// store stores entries under one new revision.
func (cfg *config) store(entries []*wire.Entry) {
	cfg.revision++
	for _, e := range entries {
		if cfg.entries[e.GetKey()].GetGone() {
			cfg.deletedCount--
		}
		next := &wire.Entry{Key: e.GetKey(), Gone: e.GetGone(), Revision: cfg.revision}
		if next.Gone {
			cfg.deletedCount++
		} else {
			next.Value = e.GetValue()
		}
		cfg.entries[next.Key] = next
	}
	if cfg.deletedCount > MaxDeletedKeys {
		cfg.dropOldestDeleted()
	}
}

// dropOldestDeleted drops the older half of the deleted keys and raises
// deltaFloor accordingly.
func (cfg *config) dropOldestDeleted() {
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
		cfg.deltaFloor = max(cfg.deltaFloor, e.GetRevision())
		cfg.deletedCount--
	}
}

// exists reports whether a key is set and not deleted.
func (cfg *config) exists(key string) bool {
	e, ok := cfg.entries[key]
	return ok && !e.GetGone()
}

// auditSubject lists the keys of a change, at most 8 of them; a deleted key is
// marked with "-".
func auditSubject(entries []*wire.Entry) string {
	const maxKeys = 8
	var b strings.Builder
	for i, e := range entries {
		if i == maxKeys {
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

// Revision returns the current revision of the configuration.
func (l *Ledger) Revision() uint64 {
	l.mu.RLock()
	defer l.mu.RUnlock()
	return l.config.revision
}

// LastChangeNumber returns the number of the last change.
func (l *Ledger) LastChangeNumber() uint64 {
	l.mu.RLock()
	defer l.mu.RUnlock()
	return l.config.lastChangeNumber
}

// Delta returns the entries changed after revision from, by key. The delta is
// full if from is 0, if deletions after from may be forgotten already, or if from
// is above the current revision and thus from another history.
func (l *Ledger) Delta(from uint64) *wire.Delta {
	l.mu.RLock()
	defer l.mu.RUnlock()
	cfg := &l.config
	d := &wire.Delta{From: from, Revision: cfg.revision}
	if from == 0 || from < cfg.deltaFloor || from > cfg.revision {
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
