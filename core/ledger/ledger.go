// Package ledger is the replicated state machine of citronledge: the
// configuration, incarnations, operations that may run at most once, bills,
// session pins and the audit trail.
//
// Apply is a pure function of the state and the command: it reads no clock
// and no random number, and nothing depends on the order of a map. The only
// time is Command.time, kept monotonic. Read methods may run concurrently
// with Apply; the messages that they return are shared and must not be
// changed.
package ledger

import (
	"fmt"
	"sync"
	"time"

	"google.golang.org/protobuf/proto"

	"citronledge.example/core/fault"
	"citronledge.example/core/wire"
)

// Bounds of the state. Without them it would grow with every request.
const (
	// MaxBills is the number of newest bills kept in full.
	MaxBills = 100_000
	// MaxAudits is the number of newest audit records kept.
	MaxAudits = 50_000
	// MaxChanges is the number of newest changes whose digest is known; at
	// 5,300 changes a day it covers two days of resent changes.
	MaxChanges = 10_600
	// MaxDeletedKeys is the number of deleted keys kept for deltas. A receiver from
	// before the oldest one gets a full delta.
	MaxDeletedKeys = 4096
	// OperationRetention is how long a finished operation is replayed. One that
	// ran under a business key stays on record without its answer.
	OperationRetention = 7 * 24 * time.Hour
	// IncarnationRetention is how long a retired incarnation may still be billed.
	IncarnationRetention = 30 * 24 * time.Hour
	// PinTTL is how long a session keeps its version without use.
	PinTTL = 24 * time.Hour
	// HandedTimeout is how long an operation stays handed without word from the
	// side process before it counts as unknown. It is above every usual
	// timeout of a call, and a later word is still accepted.
	HandedTimeout = 5 * time.Minute
)

// Ledger is the state. Its methods are safe for concurrent use.
type Ledger struct {
	mu sync.RWMutex

	index uint64
	time  uint64 // ms since the Unix epoch

	config  config
	runs    runs
	calls   calls
	bills   bills
	pins    *pins
	audits  []*wire.Audit
	audited uint64 // index of the last audit record
}

// New returns the empty state.
func New() *Ledger {
	return &Ledger{
		config: newConfig(), runs: newRuns(), calls: newCalls(), bills: newBills(), pins: &pins{},
	}
}

// Apply applies the command of a log record and returns its result, both as
// protobuf messages (wire.Command, wire.Result). Malformed commands give a
// result with a fault.
func (l *Ledger) Apply(index uint64, command []byte) []byte {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.index = index
	var c wire.Command
	var r *wire.Result
	if err := proto.Unmarshal(command, &c); err != nil {
		r = refuse(fault.Invalid, "the command cannot be read; use the message format of this release")
	} else {
		l.advance(c.GetTime())
		r = l.apply(&c)
	}
	data, err := proto.Marshal(r)
	if err != nil {
		// Results hold only strings that were decoded from valid messages.
		data, _ = proto.Marshal(refuse(fault.Internal, "the result cannot be written; report this defect"))
	}
	return data
}

func (l *Ledger) apply(c *wire.Command) *wire.Result {
	switch k := c.GetKind().(type) {
	case *wire.Command_Change:
		return l.change(c, k.Change)
	case *wire.Command_Members:
		return l.members(c, k.Members)
	case *wire.Command_Enroll:
		return l.enroll(c, k.Enroll)
	case *wire.Command_Retire:
		return l.retire(c, k.Retire)
	case *wire.Command_Begin:
		return l.begin(c, k.Begin)
	case *wire.Command_Hand:
		return l.hand(c, k.Hand)
	case *wire.Command_Finish:
		return l.finish(c, k.Finish)
	case *wire.Command_Abort:
		return l.abort(c, k.Abort)
	case *wire.Command_Settle:
		return l.settle(c, k.Settle)
	case *wire.Command_Bills:
		return l.bill(k.Bills)
	case *wire.Command_Pin:
		return l.pin(k.Pin)
	case *wire.Command_Batch:
		return l.batch(k.Batch)
	case *wire.Command_Replace:
		return l.replace(c, k.Replace)
	case *wire.Command_Shift:
		return l.shift(c, k.Shift)
	}
	return refuse(fault.Invalid, "the command has no known kind; upgrade the state processes before their clients")
}

// batch applies Bills and Pin commands one by one. Others are not batched,
// because each of them needs its own audit time and actor.
func (l *Ledger) batch(b *wire.Batch) *wire.Result {
	list := &wire.Results{}
	for _, c := range b.GetCommands() {
		var r *wire.Result
		switch k := c.GetKind().(type) {
		case *wire.Command_Bills:
			r = l.bill(k.Bills)
		case *wire.Command_Pin:
			r = l.pin(k.Pin)
		default:
			r = refuse(fault.Invalid, "only bills and pins are batched; propose this command by itself")
		}
		list.Results = append(list.Results, r)
	}
	return &wire.Result{Kind: &wire.Result_Results{Results: list}}
}

// advance moves the time forward and lets everything expire that is due.
func (l *Ledger) advance(now uint64) {
	l.time = max(l.time, now)
	l.pins.sweep(l.time)
	l.runs.expire(l.time)
	l.lapse()
}

// since returns the time from t to the current one.
func (l *Ledger) since(t uint64) time.Duration { return span(t, l.time) }

// span returns the time between two times in ms, or 0 if from is the later
// one. It does not overflow on times of a faulty proposer.
func span(from, to uint64) time.Duration {
	const most = uint64(1<<63-1) / uint64(time.Millisecond)
	if from >= to {
		return 0
	}
	return time.Duration(min(to-from, most)) * time.Millisecond
}

func refuse(k fault.Kind, format string, args ...any) *wire.Result {
	return &wire.Result{Fault: wire.NewFault(fault.New(k, fmt.Sprintf(format, args...)))}
}

// AppliedIndex returns the index of the last command applied.
func (l *Ledger) AppliedIndex() uint64 {
	l.mu.RLock()
	defer l.mu.RUnlock()
	return l.index
}

// Time returns the largest Command.time seen, in ms since the Unix epoch.
func (l *Ledger) Time() uint64 {
	l.mu.RLock()
	defer l.mu.RUnlock()
	return l.time
}
