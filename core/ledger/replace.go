package ledger

import (
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"strings"
	"time"

	"citronledge.example/core/chart"
	"citronledge.example/core/conf"
	"citronledge.example/core/fault"
	"citronledge.example/core/ident"
	"citronledge.example/core/wire"
)

// DocumentDigest returns the hex SHA-256 of a document.
func DocumentDigest(body []byte) string {
	sum := sha256.Sum256(body)
	return hex.EncodeToString(sum[:])
}

// replace sets the configuration document. A version below the one held is
// overtaken: it is answered like a repeat and changes nothing.
func (l *Ledger) replace(c *wire.Command, r *wire.Replace) *wire.Result {
	return l.record(c, "replace", conf.DocumentKey, "", l.decideReplace(c, r))
}

func (l *Ledger) decideReplace(c *wire.Command, r *wire.Replace) *wire.Result {
	if got := DocumentDigest(r.GetDocument()); got != r.GetDigest() {
		return refuse(fault.Invalid, "the digest of the document does not match; send %s", got)
	}
	held := l.document()
	done := &wire.Changed{Number: held.Version, Revision: l.config.revision, Digest: held.Digest, Actor: c.GetActor(), Repeat: true}
	result := &wire.Result{Kind: &wire.Result_Changed{Changed: done}}
	switch {
	case r.GetVersion() == 0:
		return refuse(fault.Invalid, "the document has no version; number versions from 1")
	case r.GetVersion() < held.Version, r.GetVersion() == held.Version && r.GetDigest() == held.Digest:
		return result
	case r.GetVersion() == held.Version:
		return refuse(fault.Conflict, "version %d is held with digest %s; compare with it and send a higher version", held.Version, held.Digest)
	}
	value, err := json.Marshal(conf.Document{Version: r.GetVersion(), Digest: r.GetDigest(), Body: r.GetDocument()})
	if err != nil {
		return refuse(fault.Invalid, "the document is not JSON: %s", err)
	}
	l.config.put([]*wire.Entry{{Key: conf.DocumentKey, Value: value}})
	done.Number, done.Revision, done.Digest, done.Repeat = r.GetVersion(), l.config.revision, r.GetDigest(), false
	return result
}

func (l *Ledger) document() (d conf.Document) {
	if l.config.live(conf.DocumentKey) {
		// Only replace writes the value, so it can be decoded.
		_ = json.Unmarshal(l.config.entries[conf.DocumentKey].GetValue(), &d)
	}
	return d
}

// repeatOrder is how long after its order an ended roll-out takes another
// order of the same target for a repeat of the first.
const repeatOrder = time.Minute

// shift starts the roll-out of a service's version, or moves it on.
func (l *Ledger) shift(c *wire.Command, s *wire.Shift) *wire.Result {
	return l.record(c, "shift", conf.ServiceRolloutsPrefix+s.GetService(), s.GetPhase()+" "+s.GetTarget()+" "+s.GetReason(), l.decideShift(c, s))
}

func (l *Ledger) decideShift(c *wire.Command, s *wire.Shift) *wire.Result {
	if s.GetService() == "" || s.GetTarget() == "" {
		return refuse(fault.Invalid, "the roll-out names no service or no target version; set both")
	}
	held, known := l.lastShift(s.GetService())
	same := known && held.Target == ident.Version(s.GetTarget())
	next := held
	switch conf.ServiceRolloutStage(s.GetPhase()) {
	case conf.StageCanary:
		if same && (!held.HasEnded() || l.since(held.OrderedAtMillis) < repeatOrder) {
			return l.shifted(c, true)
		}
		if known && !held.HasEnded() {
			return refuse(fault.Conflict, "version %s of %s is being rolled out; wait for its end", held.Target, s.GetService())
		}
		next = conf.ServiceRollout{Target: ident.Version(s.GetTarget()), DurationMillis: s.GetDuration(), Stage: conf.StageCanary, OrderedAtMillis: l.time, Number: held.Number + 1}
	default:
		event, ok := shiftEvents[conf.ServiceRolloutStage(s.GetPhase())]
		if !ok || !same {
			return refuse(fault.Conflict, "version %s of %s is not being rolled out in this phase", s.GetTarget(), s.GetService())
		}
		if held.Stage == conf.ServiceRolloutStage(s.GetPhase()) {
			return l.shifted(c, true)
		}
		to, ok := conf.ServiceRolloutChart().Next(chart.State(held.Stage), event)
		if !ok {
			return refuse(fault.Conflict, "the roll-out of %s is %s; it cannot become %s", s.GetService(), held.Stage, s.GetPhase())
		}
		next.Stage, next.Reason = conf.ServiceRolloutStage(to), s.GetReason()
	}
	value, err := json.Marshal(next)
	if err != nil {
		return refuse(fault.Invalid, "the roll-out cannot be encoded: %s", err)
	}
	l.config.put([]*wire.Entry{{Key: conf.ServiceRolloutsPrefix + s.GetService(), Value: value}})
	return l.shifted(c, false)
}

// shiftEvents maps the stage that a command asks for to the event of the chart.
var shiftEvents = map[conf.ServiceRolloutStage]chart.Event{
	conf.StageMoving: "move", conf.StageComplete: "complete", conf.StageWithdrawn: "withdraw",
}

func (l *Ledger) shifted(c *wire.Command, repeat bool) *wire.Result {
	return &wire.Result{Kind: &wire.Result_Changed{Changed: &wire.Changed{
		Number: l.config.number, Revision: l.config.revision, Actor: c.GetActor(), Repeat: repeat,
	}}}
}

// lastShift returns the last roll-out of a service; the caller holds the lock.
func (l *Ledger) lastShift(service string) (s conf.ServiceRollout, ok bool) {
	key := conf.ServiceRolloutsPrefix + service
	if !l.config.live(key) {
		return s, false
	}
	return s, json.Unmarshal(l.config.entries[key].GetValue(), &s) == nil
}

// ServiceRollouts returns the last roll-out of each service.
func (l *Ledger) ServiceRollouts() map[ident.Service]conf.ServiceRollout {
	l.mu.RLock()
	defer l.mu.RUnlock()
	list := map[ident.Service]conf.ServiceRollout{}
	for key := range l.config.entries {
		if name, ok := strings.CutPrefix(key, conf.ServiceRolloutsPrefix); ok {
			if s, known := l.lastShift(name); known {
				list[ident.Service(name)] = s
			}
		}
	}
	return list
}

// Document returns the configuration document, with version 0 if there is none.
func (l *Ledger) Document() conf.Document {
	l.mu.RLock()
	defer l.mu.RUnlock()
	return l.document()
}
