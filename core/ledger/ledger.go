// Package ledger is the replicated state machine of citronledge: the
// configuration, incarnations, operations that may run at most once, bills,
// session pins and the audit trail.
//
// Apply is deterministic: its effect depends only on the state and the command.
// It reads no clock and no random numbers, and nothing depends on the iteration
// order of maps. The only time is Command.time, which the ledger keeps monotonic.
// Read methods may run concurrently with Apply; the messages that they return are
// shared and must not be modified.
package ledger

import (
	"fmt"
	"sync"
	"time"

	"google.golang.org/protobuf/proto"

	"citronledge.example/core/fault"
	"citronledge.example/core/wire"
)

// Bounds on the size of the state, which would otherwise grow with every request.
const (
	// MaxBills is the number of most recent bills kept in full.
	MaxBills = 100_000
	// MaxAudits is the number of most recent audit records kept.
	MaxAudits = 50_000
	// MaxChanges is the number of most recent changes whose digest is kept to
	// recognise resent ones. At 5,300 changes a day it covers two days.
	MaxChanges = 10_600
	// MaxDeletedKeys is the number of deleted keys kept for deltas. A receiver
	// whose revision is older than the oldest of them gets a full delta.
	MaxDeletedKeys = 4096
	// OperationRetention is how long the answer of a finished operation is
	// replayed. Afterwards an operation with a business key stays on record
	// without its answer.
	OperationRetention = 7 * 24 * time.Hour
	// IncarnationRetention is how long bills of a retired incarnation are accepted.
	IncarnationRetention = 30 * 24 * time.Hour
	// PinTTL is how long an unused session keeps its pinned version.
	PinTTL = 24 * time.Hour
	// HandedTimeout is how long an operation stays in the phase handed without a
	// report from the side process before its outcome counts as unknown. It is
	// above every usual timeout of a call, and a later report is still accepted.
	HandedTimeout = 5 * time.Minute
)

// Ledger is the replicated state. Its methods are safe for concurrent use.
type Ledger struct {
	mu sync.RWMutex

	index uint64 // of the last command applied
	clock uint64 // largest Command.time applied, in ms since the Unix epoch

	config       config
	incarnations incarnations
	operations   operations
	bills        billStore
	pins         *pins
	audits       []*wire.Audit
	lastAudit    uint64 // index of the last audit record
}

// New returns an empty ledger.
func New() *Ledger {
	return &Ledger{
		config: newConfig(), incarnations: newIncarnations(), operations: newOperations(), bills: newBills(), pins: &pins{},
	}
}

// Apply applies the command of the log record at index and returns its result.
// Both are encoded protobuf messages (wire.Command, wire.Result). The result of a
// malformed command carries a fault.
func (l *Ledger) Apply(index uint64, command []byte) []byte {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.index = index
	var c wire.Command
	var r *wire.Result
	if err := proto.Unmarshal(command, &c); err != nil {
		r = refuse(fault.Invalid, "the command cannot be read; use the message format of this release")
	} else {
		l.advanceClock(c.GetTime())
		r = l.apply(&c)
	}
	data, err := proto.Marshal(r)
	if err != nil {
		// Should not happen: results hold only strings decoded from valid messages.
		data, _ = proto.Marshal(refuse(fault.Internal, "the result cannot be written; report this defect"))
	}
	return data
}

func (l *Ledger) apply(c *wire.Command) *wire.Result {
	switch k := c.GetKind().(type) {
	case *wire.Command_Change:
		return l.change(c, k.Change)
	case *wire.Command_Members:
		return l.updateMembers(c, k.Members)
	case *wire.Command_Enroll:
		return l.enroll(c, k.Enroll)
	case *wire.Command_Retire:
		return l.retire(c, k.Retire)
	case *wire.Command_Begin:
		return l.begin(c, k.Begin)
	case *wire.Command_Hand:
		return l.grantCall(c, k.Hand)
	case *wire.Command_Finish:
		return l.finish(c, k.Finish)
	case *wire.Command_Abort:
		return l.abort(c, k.Abort)
	case *wire.Command_Settle:
		return l.settle(c, k.Settle)
	case *wire.Command_Bills:
		return l.applyBills(k.Bills)
	case *wire.Command_Pin:
		return l.pinSession(k.Pin)
	case *wire.Command_Batch:
		return l.applyBatch(k.Batch)
	case *wire.Command_Replace:
		return l.replace(c, k.Replace)
	case *wire.Command_Shift:
		return l.updateServiceRollout(c, k.Shift)
	case *wire.Command_Evacuate:
		return l.evacuate(c, k.Evacuate)
	}
	return refuse(fault.Invalid, "the command has no known kind; upgrade the state processes before their clients")
}

// applyBatch applies Bills and Pin commands one by one. Other commands are not
// batched, because each needs its own audit time and actor.
func (l *Ledger) applyBatch(b *wire.Batch) *wire.Result {
	list := &wire.Results{}
	for _, c := range b.GetCommands() {
		var r *wire.Result
		switch k := c.GetKind().(type) {
		case *wire.Command_Bills:
			r = l.applyBills(k.Bills)
		case *wire.Command_Pin:
			r = l.pinSession(k.Pin)
		default:
			r = refuse(fault.Invalid, "only bills and pins are batched; propose this command by itself")
		}
		list.Results = append(list.Results, r)
	}
	return &wire.Result{Kind: &wire.Result_Results{Results: list}}
}

// advanceClock moves the clock forward, never back, and expires pins,
// incarnations and phases of operations that are due.
func (l *Ledger) advanceClock(now uint64) {
	l.clock = max(l.clock, now)
	l.pins.sweepExpired(l.clock)
	l.incarnations.dropExpired(l.clock)
	l.expirePhases()
}

// elapsedSince returns the time from t, in ms since the Unix epoch, to the
// ledger's clock.
func (l *Ledger) elapsedSince(t uint64) time.Duration { return elapsed(t, l.clock) }

// elapsed returns the time between two timestamps in ms, or 0 if from is the
// later one. It does not overflow, even on timestamps of a faulty proposer.
func elapsed(from, to uint64) time.Duration {
	const maxMillis = uint64(1<<63-1) / uint64(time.Millisecond)
	if from >= to {
		return 0
	}
	return time.Duration(min(to-from, maxMillis)) * time.Millisecond
}

// refuse returns a result that carries only a fault.
func refuse(k fault.Kind, format string, args ...any) *wire.Result {
	return &wire.Result{Fault: wire.NewFault(fault.New(k, fmt.Sprintf(format, args...)))}
}

// AppliedIndex returns the log index of the last command applied.
func (l *Ledger) AppliedIndex() uint64 {
	l.mu.RLock()
	defer l.mu.RUnlock()
	return l.index
}

// Time returns the largest Command.time applied, in ms since the Unix epoch.
func (l *Ledger) Time() uint64 {
	l.mu.RLock()
	defer l.mu.RUnlock()
	return l.clock
}
