package share

import (
	"slices"
	"time"

	"citronledge.example/core/ident"
	"citronledge.example/core/policy"
	"citronledge.example/core/wire"
)

// Session is a session that a version of a service serves, both as hashes.
type Session struct{ ID, Version uint32 }

// SessionTable holds the sessions that the gates serve.
type SessionTable interface {
	// TakeServedSessions returns the sessions served since the last call.
	TakeServedSessions() []Session
	// MergeSessions stores the sessions that another gate served.
	MergeSessions([]Session)
}

// PartTable holds which parts of prompts crash backend servers.
type PartTable interface {
	// TakePartNews returns what this gate has seen since the last call, and all
	// blocks.
	TakePartNews() policy.PartNews
	// MergePartNews stores what another gate has told.
	MergePartNews(policy.PartNews)
}

// news are events that a gate tells all others.
type news struct {
	sessions []Session
	crashes  []policy.Crash
	sound    []ident.PromptPart
}

func (w news) isEmpty() bool {
	return len(w.sessions) == 0 && len(w.crashes) == 0 && len(w.sound) == 0
}

// maxSound and maxCrashes limit what a relay passes on at once, so that it fits
// into a datagram. Many gates tell of the same parts.
const (
	maxSound   = 1024
	maxCrashes = 256
)

func (w *news) add(more news) {
	w.sessions = append(w.sessions, more.sessions...)
	w.crashes = append(w.crashes, more.crashes[:min(len(more.crashes), maxCrashes-len(w.crashes))]...)
	for _, part := range more.sound {
		if len(w.sound) < maxSound && !slices.Contains(w.sound, part) {
			w.sound = append(w.sound, part)
		}
	}
}

// takeNews returns the events at this gate since the last call, and updates the
// blocks that are sent with every message.
func (n *Node) takeNews() (w news) {
	if n.cfg.Sessions != nil {
		w.sessions = n.cfg.Sessions.TakeServedSessions()
	}
	if n.cfg.Parts != nil {
		p := n.cfg.Parts.TakePartNews()
		w.crashes, w.sound, n.blocks = p.Crashes, p.Sound, p.Blocks
	}
	return w
}

// receiveNews stores the events of another gate, and keeps those that a relay
// passes on.
func (n *Node) receiveNews(l *wire.Loads, now time.Time) {
	w := getNews(l, now)
	if n.cfg.Sessions != nil && len(w.sessions) > 0 {
		n.cfg.Sessions.MergeSessions(w.sessions)
	}
	p := policy.PartNews{Crashes: w.crashes, Sound: w.sound, Blocks: getBlocks(l.GetBlocks())}
	if n.cfg.Parts != nil && len(p.Crashes)+len(p.Sound)+len(p.Blocks) > 0 {
		n.cfg.Parts.MergePartNews(p)
	}
	if !n.isRelay() || n.topo.direct() {
		return
	}
	n.forMembers.add(w)
	if l.GetScope() == wire.Loads_OWN {
		n.forGroups.add(w)
	}
}

// putNews writes events to a message.
func putNews(l *wire.Loads, w news, now time.Time) {
	l.Sessions = putSessions(w.sessions)
	for _, c := range w.crashes {
		l.Crashes = append(l.Crashes, &wire.Crash{
			Server: c.Server, Request: c.Request, Parts: putParts(c.Parts), Weak: c.Weak,
			Age: uint32(max(0, now.Sub(c.At)) / time.Microsecond), Ran: uint32(max(0, c.Ran) / time.Microsecond),
		})
	}
	l.Sound = putParts(w.sound)
}

func getNews(l *wire.Loads, now time.Time) news {
	w := news{sessions: getSessions(l.GetSessions()), sound: getParts(l.GetSound())}
	for _, c := range l.GetCrashes() {
		w.crashes = append(w.crashes, policy.Crash{
			Server: c.GetServer(), Request: c.GetRequest(), Parts: getParts(c.GetParts()), Weak: c.GetWeak(),
			At: now.Add(-time.Duration(c.GetAge()) * time.Microsecond), Ran: time.Duration(c.GetRan()) * time.Microsecond,
		})
	}
	return w
}

func putBlocks(blocks []policy.Block) (list []*wire.Block) {
	for _, b := range blocks {
		list = append(list, &wire.Block{Parts: putParts(b.Parts), Left: uint32(b.Left / time.Millisecond), Times: uint32(b.Times)})
	}
	return list
}

func getBlocks(list []*wire.Block) (blocks []policy.Block) {
	for _, b := range list {
		blocks = append(blocks, policy.Block{Parts: getParts(b.GetParts()), Left: time.Duration(b.GetLeft()) * time.Millisecond, Times: int(b.GetTimes())})
	}
	return blocks
}

func putParts(parts []ident.PromptPart) (list []uint64) {
	for _, p := range parts {
		list = append(list, uint64(p))
	}
	return list
}

func getParts(list []uint64) (parts []ident.PromptPart) {
	for _, p := range list {
		parts = append(parts, ident.PromptPart(p))
	}
	return parts
}

func putSessions(list []Session) []*wire.ServedSessions {
	var versions []*wire.ServedSessions
	for _, s := range list {
		i := slices.IndexFunc(versions, func(v *wire.ServedSessions) bool { return v.GetVersion() == s.Version })
		if i < 0 {
			i = len(versions)
			versions = append(versions, &wire.ServedSessions{Version: s.Version})
		}
		versions[i].Sessions = append(versions[i].Sessions, s.ID)
	}
	return versions
}

func getSessions(versions []*wire.ServedSessions) []Session {
	var list []Session
	for _, v := range versions {
		for _, id := range v.GetSessions() {
			list = append(list, Session{id, v.GetVersion()})
		}
	}
	return list
}
