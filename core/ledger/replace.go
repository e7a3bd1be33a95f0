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

// DocumentDigest returns the hex SHA-256 digest of a document.
func DocumentDigest(body []byte) string {
	sum := sha256.Sum256(body)
	return hex.EncodeToString(sum[:])
}

// replace sets the configuration document. A version below the current one is
// superseded: it is acknowledged like a repeat and changes nothing.
func (l *Ledger) replace(c *wire.Command, r *wire.Replace) *wire.Result {
	return l.recordAudit(c, "replace", conf.DocumentKey, "", l.tryReplace(c, r))
}

func (l *Ledger) tryReplace(c *wire.Command, r *wire.Replace) *wire.Result {
	if got := DocumentDigest(r.GetDocument()); got != r.GetDigest() {
		return refuse(fault.Invalid, "the digest of the document does not match; send %s", got)
	}
	current := l.document()
	done := &wire.Changed{Number: current.Version, Revision: l.config.revision, Digest: current.Digest, Actor: c.GetActor(), Repeat: true}
	result := &wire.Result{Kind: &wire.Result_Changed{Changed: done}}
	switch {
	case r.GetVersion() == 0:
		return refuse(fault.Invalid, "the document has no version; number versions from 1")
	case r.GetVersion() < current.Version, r.GetVersion() == current.Version && r.GetDigest() == current.Digest:
		return result
	case r.GetVersion() == current.Version:
		return refuse(fault.Conflict, "version %d is held with digest %s; compare with it and send a higher version", current.Version, current.Digest)
	}
	value, err := json.Marshal(conf.Document{Version: r.GetVersion(), Digest: r.GetDigest(), Body: r.GetDocument()})
	if err != nil {
		return refuse(fault.Invalid, "the document is not JSON: %s", err)
	}
	l.config.store([]*wire.Entry{{Key: conf.DocumentKey, Value: value}})
	done.Number, done.Revision, done.Digest, done.Repeat = r.GetVersion(), l.config.revision, r.GetDigest(), false
	return result
}

func (l *Ledger) document() (d conf.Document) {
	if l.config.exists(conf.DocumentKey) {
		// Decoding cannot fail, since only replace writes the value.
		_ = json.Unmarshal(l.config.entries[conf.DocumentKey].GetValue(), &d)
	}
	return d
}

// repeatOrderWindow is how long after the order of a service rollout that has
// ended another order of the same target counts as a repeat of it.
const repeatOrderWindow = time.Minute

// updateServiceRollout starts a service rollout or moves it to another stage.
func (l *Ledger) updateServiceRollout(c *wire.Command, s *wire.Shift) *wire.Result {
	return l.recordAudit(c, "shift", conf.ServiceRolloutsPrefix+s.GetService(), s.GetPhase()+" "+s.GetTarget()+" "+s.GetReason(), l.tryServiceRollout(c, s))
}

func (l *Ledger) tryServiceRollout(c *wire.Command, s *wire.Shift) *wire.Result {
	if s.GetService() == "" || s.GetTarget() == "" {
		return refuse(fault.Invalid, "the roll-out names no service or no target version; set both")
	}
	current, known := l.lastServiceRollout(s.GetService())
	same := known && current.Target == ident.Version(s.GetTarget())
	next := current
	switch conf.ServiceRolloutStage(s.GetPhase()) {
	case conf.StageCanary:
		if same && (!current.HasEnded() || l.elapsedSince(current.OrderedAtMillis) < repeatOrderWindow) {
			return l.serviceRolloutResult(c, true)
		}
		if known && !current.HasEnded() {
			return refuse(fault.Conflict, "version %s of %s is being rolled out; wait for its end", current.Target, s.GetService())
		}
		next = conf.ServiceRollout{Target: ident.Version(s.GetTarget()), DurationMillis: s.GetDuration(), Stage: conf.StageCanary, OrderedAtMillis: l.clock, Number: current.Number + 1}
	default:
		event, ok := stageEvents[conf.ServiceRolloutStage(s.GetPhase())]
		if !ok || !same {
			return refuse(fault.Conflict, "version %s of %s is not being rolled out in this phase", s.GetTarget(), s.GetService())
		}
		if current.Stage == conf.ServiceRolloutStage(s.GetPhase()) {
			return l.serviceRolloutResult(c, true)
		}
		to, ok := conf.ServiceRolloutChart().Next(chart.State(current.Stage), event)
		if !ok {
			return refuse(fault.Conflict, "the roll-out of %s is %s; it cannot become %s", s.GetService(), current.Stage, s.GetPhase())
		}
		next.Stage, next.Reason = conf.ServiceRolloutStage(to), s.GetReason()
	}
	value, err := json.Marshal(next)
	if err != nil {
		return refuse(fault.Invalid, "the roll-out cannot be encoded: %s", err)
	}
	l.config.store([]*wire.Entry{{Key: conf.ServiceRolloutsPrefix + s.GetService(), Value: value}})
	return l.serviceRolloutResult(c, false)
}

// stageEvents maps the stage that a command asks for to the event of the chart.
var stageEvents = map[conf.ServiceRolloutStage]chart.Event{
	conf.StageMoving: "move", conf.StageComplete: "complete", conf.StageWithdrawn: "withdraw",
}

func (l *Ledger) serviceRolloutResult(c *wire.Command, repeat bool) *wire.Result {
	return &wire.Result{Kind: &wire.Result_Changed{Changed: &wire.Changed{
		Number: l.config.lastChangeNumber, Revision: l.config.revision, Actor: c.GetActor(), Repeat: repeat,
	}}}
}

// lastServiceRollout returns the latest rollout of a service. It must be called
// with l.mu held.
func (l *Ledger) lastServiceRollout(service string) (s conf.ServiceRollout, ok bool) {
	key := conf.ServiceRolloutsPrefix + service
	if !l.config.exists(key) {
		return s, false
	}
	return s, json.Unmarshal(l.config.entries[key].GetValue(), &s) == nil
}

// ServiceRollouts returns the latest rollout of each service.
func (l *Ledger) ServiceRollouts() map[ident.Service]conf.ServiceRollout {
	l.mu.RLock()
	defer l.mu.RUnlock()
	list := map[ident.Service]conf.ServiceRollout{}
	for key := range l.config.entries {
		if name, ok := strings.CutPrefix(key, conf.ServiceRolloutsPrefix); ok {
			if s, known := l.lastServiceRollout(name); known {
				list[ident.Service(name)] = s
			}
		}
	}
	return list
}

// Document returns the configuration document; its version is 0 if there is none.
func (l *Ledger) Document() conf.Document {
	l.mu.RLock()
	defer l.mu.RUnlock()
	return l.document()
}
