package ledger

import (
	"maps"
	"slices"
	"strings"

	"github.com/rotisserie/eris"
	"google.golang.org/protobuf/encoding/protowire"
	"google.golang.org/protobuf/proto"

	"citronledge.example/core/chart"
	"citronledge.example/core/wire"
)

const snapshotFormat = 1

// Snapshot returns the encoded state. Equal states give equal bytes.
func (l *Ledger) Snapshot() ([]byte, error) { return l.Freeze()() }

// Freeze returns a function that encodes the state as of the call of Freeze. The
// function must be called at most once and may run while commands are applied.
// Freeze itself takes milliseconds, whatever the number of pins.
func (l *Ledger) Freeze() (encode func() ([]byte, error)) {
	s, operations, pins := l.captureState()
	return func() ([]byte, error) {
		slices.SortFunc(s.Entries, func(a, b *wire.Entry) int { return strings.Compare(a.GetKey(), b.GetKey()) })
		slices.SortFunc(operations, func(a, b *operation) int { return strings.Compare(a.op.GetId(), b.op.GetId()) })
		for _, c := range operations {
			s.Calls = append(s.Calls, &wire.Call{Operation: c.op, Digest: c.digest, Nonce: c.nonce})
		}
		data, err := proto.MarshalOptions{Deterministic: true}.Marshal(s)
		if err != nil {
			return nil, eris.Wrap(err, "cannot encode the snapshot")
		}
		return appendPins(data, pins, s.GetTime())
	}
}

// appendPins appends the pins to an encoded snapshot, as elements of the field
// Snapshot.pins.
func appendPins(data []byte, list *[shardCount]shard, now uint64) (_ []byte, err error) {
	field := (&wire.Snapshot{}).ProtoReflect().Descriptor().Fields().ByName("pins").Number()
	eachPin(list, now, func(m *wire.Stick) {
		data = protowire.AppendTag(data, field, protowire.BytesType)
		data = protowire.AppendVarint(data, uint64(proto.Size(m)))
		if err == nil {
			data, err = proto.MarshalOptions{UseCachedSize: true}.MarshalAppend(data, m)
		}
	})
	return data, eris.Wrap(err, "cannot encode the pins")
}

// captureState returns the parts of the state. None of them changes afterwards.
func (l *Ledger) captureState() (*wire.Snapshot, []*operation, *[shardCount]shard) {
	l.mu.Lock() // freezing the pins writes to the shards
	defer l.mu.Unlock()
	s := &wire.Snapshot{
		Format: snapshotFormat, Index: l.index, Time: l.clock,
		Revision: l.config.revision, Floor: l.config.deltaFloor, Number: l.config.lastChangeNumber,
		Incarnation: l.incarnations.lastID, Fence: l.operations.lastFence, Audit: l.lastAudit, Bill: l.bills.lastIndex,
		Changes: slices.Clone(l.config.changes), Bills: slices.Clone(l.bills.recent),
		Audits: slices.Clone(l.audits), Totals: l.bills.sortedTotals(),
	}
	s.Entries = slices.AppendSeq(make([]*wire.Entry, 0, len(l.config.entries)), maps.Values(l.config.entries))
	for _, id := range slices.Sorted(maps.Keys(l.incarnations.byID)) {
		r := l.incarnations.byID[id]
		s.Runs = append(s.Runs, &wire.Run{
			Incarnation: id, Name: r.name, Zone: r.zone, Retired: r.retired, Last: r.lastSequence, Time: r.updatedAt,
			Billed: slices.Clone([]*wire.Span(r.billed)),
		})
	}
	operations := slices.AppendSeq(make([]*operation, 0, len(l.operations.byID)), maps.Values(l.operations.byID))
	return s, operations, l.pins.freeze()
}

// Restore replaces the state by a snapshot. On an error the state is unchanged.
func (l *Ledger) Restore(data []byte) error {
	var s wire.Snapshot
	if err := proto.Unmarshal(data, &s); err != nil {
		return eris.Wrap(err, "the snapshot cannot be read; replace this member of the state cluster")
	}
	if s.GetFormat() != snapshotFormat {
		return eris.Errorf("snapshot format %d is not known; run the release that wrote it", s.GetFormat())
	}
	n := New()
	if err := n.load(&s); err != nil {
		return err
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.index, l.clock = n.index, n.clock
	l.config, l.incarnations, l.operations, l.bills, l.pins = n.config, n.incarnations, n.operations, n.bills, n.pins
	l.audits, l.lastAudit = n.audits, n.lastAudit
	return nil
}

// load fills an empty ledger from a snapshot.
func (l *Ledger) load(s *wire.Snapshot) error {
	l.index, l.clock = s.GetIndex(), s.GetTime()
	l.audits, l.lastAudit = s.GetAudits(), s.GetAudit()
	cfg := &l.config
	cfg.revision, cfg.deltaFloor, cfg.lastChangeNumber, cfg.changes = s.GetRevision(), s.GetFloor(), s.GetNumber(), s.GetChanges()
	if uint64(len(cfg.changes)) > cfg.lastChangeNumber {
		return eris.New("the snapshot holds more changes than their number; replace this member of the state cluster")
	}
	for _, e := range s.GetEntries() {
		cfg.entries[e.GetKey()] = e
		if e.GetGone() {
			cfg.deletedCount++
		}
	}
	l.bills.lastIndex, l.bills.recent = s.GetBill(), s.GetBills()
	for _, t := range s.GetTotals() {
		l.bills.totals[t.GetCustomer()] = t
	}
	for _, p := range s.GetPins() {
		l.pins.put(pinKey{p.GetCustomer(), p.GetSession(), p.GetModel()}, sessionPin{p.GetVersion(), p.GetUsed()})
	}
	l.loadIncarnations(s)
	return l.loadOperations(s)
}

func (l *Ledger) loadIncarnations(s *wire.Snapshot) {
	l.incarnations.lastID = s.GetIncarnation()
	for _, r := range s.GetRuns() {
		l.incarnations.byID[r.GetIncarnation()] = &incarnation{
			name: r.GetName(), zone: r.GetZone(), retired: r.GetRetired(), lastSequence: r.GetLast(), updatedAt: r.GetTime(), billed: r.GetBilled(),
		}
		if r.GetRetired() {
			l.incarnations.retired = append(l.incarnations.retired, r.GetIncarnation())
		}
	}
	slices.SortStableFunc(l.incarnations.retired, func(a, b uint64) int {
		at, bt := l.incarnations.byID[a].updatedAt, l.incarnations.byID[b].updatedAt
		switch {
		case at < bt:
			return -1
		case at > bt:
			return 1
		}
		return 0
	})
}

func (l *Ledger) loadOperations(s *wire.Snapshot) error {
	l.operations.lastFence = s.GetFence()
	states := operationChart.States()
	for _, c := range s.GetCalls() {
		op := c.GetOperation()
		if !slices.Contains(states, chart.State(op.GetPhase())) {
			return eris.Errorf("operation %s is in the unknown phase %q; run the release that wrote the snapshot", op.GetId(), op.GetPhase())
		}
		l.storeOperation(&operation{op: op, digest: c.GetDigest(), nonce: c.GetNonce()})
	}
	return nil
}
