package ledger

import (
	"encoding/json"
	"strings"

	"citronledge.example/core/conf"
	"citronledge.example/core/fault"
	"citronledge.example/core/ident"
	"citronledge.example/core/wire"
)

// MaxEvacuations bounds the evacuations in progress, since zones need not be known.
const MaxEvacuations = 256

// evacuate begins or ends the evacuation of a zone. A command that would change
// nothing is acknowledged as a repeat: its sender may have missed the first
// confirmation.
func (l *Ledger) evacuate(c *wire.Command, e *wire.Evacuate) *wire.Result {
	action := "begin evacuation"
	if e.GetEnd() {
		action = "finish evacuation"
	}
	return l.recordAudit(c, action, conf.EvacuationsPrefix+e.GetZone(), "", l.tryEvacuate(c, e))
}

func (l *Ledger) tryEvacuate(c *wire.Command, e *wire.Evacuate) *wire.Result {
	if err := conf.CheckZone(ident.Zone(e.GetZone())); err != nil {
		return refuse(fault.Invalid, "%s", err)
	}
	key := conf.EvacuationsPrefix + e.GetZone()
	repeat := l.config.exists(key) != e.GetEnd()
	if !repeat {
		entry := &wire.Entry{Key: key, Gone: e.GetEnd()}
		if !e.GetEnd() {
			if l.countEvacuations() >= MaxEvacuations {
				return refuse(fault.Conflict, "%d zones are being evacuated; finish one of these evacuations first", MaxEvacuations)
			}
			value, err := json.Marshal(conf.Evacuation{BeganAtMillis: l.clock, Actor: c.GetActor()})
			if err != nil {
				return refuse(fault.Invalid, "the evacuation cannot be encoded: %s", err)
			}
			entry.Value = value
		}
		l.config.store([]*wire.Entry{entry})
	}
	return &wire.Result{Kind: &wire.Result_Changed{Changed: &wire.Changed{
		Number: l.config.lastChangeNumber, Revision: l.config.revision, Actor: c.GetActor(), Repeat: repeat,
	}}}
}

func (l *Ledger) countEvacuations() (n int) {
	for key := range l.config.entries {
		if strings.HasPrefix(key, conf.EvacuationsPrefix) && l.config.exists(key) {
			n++
		}
	}
	return n
}
