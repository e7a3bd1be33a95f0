package policy

import (
	"math"
	"slices"
	"time"

	"citronledge.example/core/ident"
)

const (
	// minCrashes is the number of crashes after which a request or a part of a
	// prompt is quarantined, and minCrashingRequests that of different requests
	// among them for a part: the other parts of a single request are as suspect as
	// the one that is to blame.
	minCrashes          = 3
	minCrashingRequests = 2
	// minWeakCrashes and minWeakRequests are the same for a part if the evidence is
	// weak: others that the servers had beside the request that is to blame look the
	// same.
	minWeakCrashes  = 4
	minWeakRequests = 3
	// crashBurst is the time within which crashes count as one: a loss of power
	// ends many servers at once, whatever they were doing. A request that was sent
	// after the other crash was not part of it.
	crashBurst = 200 * time.Millisecond
	// sameCrash is the time within which the reports of a server are about one
	// crash. A server takes longer to start again.
	sameCrash = time.Second
	// firstQuarantine doubles with each quarantine of parts that crashed a server
	// again, up to maxQuarantine.
	firstQuarantine = time.Minute
	maxQuarantine   = time.Hour
	// soundMemory is how long a part counts as sound after an answer, and
	// suspectMemory how long one stays suspect after a crash or its quarantine.
	soundMemory   = 2 * time.Minute
	suspectMemory = 2 * time.Minute
	// soundRefresh is the interval at which other gates are told of a part that
	// is still sound.
	soundRefresh = soundMemory / 4
	// maxParts limits the parts that are remembered, and maxPartNews those that
	// wait to be sent.
	maxParts    = 8192
	maxPartNews = 256
	// maxBlamed limits the parts that are blamed for one crash: a prompt may have
	// thousands, and those that others share come first.
	maxBlamed = 128
	// maxNewsParts limits the parts in all crashes, and in all blocks, that are sent
	// at once.
	maxNewsParts = 2048
)

// Crash is a server whose process ended while it had a request.
type Crash struct {
	Server uint32 // hash of its ID
	// Request is a hash of the content of the request, which its repeats share; 0
	// if it is not known.
	Request uint64
	// Parts are those that may have caused it.
	Parts []ident.PromptPart
	// Weak is set if the request may have been a bystander: it waited at the server,
	// or had been answered for some time.
	Weak bool
	At   time.Time     // of the crash; RecordCrash takes the zero time as now
	Ran  time.Duration // from sending the request to the crash
}

// Suspects returns what may be quarantined of a request: the parts of its prompt
// and the request itself.
func Suspects(parts []ident.PromptPart, request uint64) []ident.PromptPart {
	return append(slices.Clip(parts), ident.PromptPart(request))
}

// Block is the quarantine of prompts that have certain parts.
type Block struct {
	// Parts crash servers together; which of them does so alone is not known. A
	// prompt with all of them is blocked.
	Parts []ident.PromptPart
	Left  time.Duration
	Times int // that they were quarantined in a row
}

// PartNews is what gates tell each other about parts of prompts.
type PartNews struct {
	Crashes []Crash
	Sound   []ident.PromptPart // prompts with them were answered
	Blocks  []Block
}

// Quarantine finds the requests and the parts of prompts that crash each server
// that answers them, and blocks them. A request is blamed for each crash of a
// server that had it, and blocked by itself. A part is blamed for each crash of a
// server that had a prompt with it; crashes for which others are as suspect weigh
// less. Both are cleared by each answer, at any gate, that is whole or has been under
// way for long: one that has only begun may crash its server yet. Parts that were only
// seen together are blocked together, so that prompts with some of them show which one
// is to blame. The quarantine is for requests that share such a part, arrive at many
// gates, and would crash one server after the other.
//
// It is not safe for concurrent use.
type Quarantine struct {
	suspects map[ident.PromptPart]*suspect
	sound    map[ident.PromptPart]*soundPart
	blocks   []*block
	unsent   PartNews // without Blocks
	// unsentParts is the number of parts in unsent.Crashes.
	unsentParts int
}

// suspect is a part of a prompt that no answer has cleared since the crashes.
type suspect struct {
	crashes    []crashMark
	requests   []uint64  // that crashed a server
	blocks     int       // in a row
	blockedEnd time.Time // of the last one
}

// block is a quarantine that ends at a time.
type block struct {
	parts []ident.PromptPart
	until time.Time
	times int
}

func (b *block) export(now time.Time) Block {
	return Block{slices.Clone(b.parts), b.until.Sub(now), b.times}
}

// covers reports whether a prompt with the given parts is blocked.
func (b *block) covers(parts []ident.PromptPart) bool {
	for _, part := range b.parts {
		if !slices.Contains(parts, part) {
			return false
		}
	}
	return true
}

type crashMark struct {
	server uint32
	at     time.Time
	weak   bool
}

// soundPart says when a prompt with the part was last answered, and when
// the gates last told each other.
type soundPart struct{ seenAt, toldAt time.Time }

// NewQuarantine returns a quarantine without suspects.
func NewQuarantine() *Quarantine {
	return &Quarantine{suspects: map[ident.PromptPart]*suspect{}, sound: map[ident.PromptPart]*soundPart{}}
}

// Blocked returns the quarantine of a prompt with the given parts, if it has one.
func (q *Quarantine) Blocked(parts []ident.PromptPart, now time.Time) (Block, bool) {
	if b := q.findBlock(parts, now); b != nil {
		return b.export(now), true
	}
	return Block{}, false
}

func (q *Quarantine) findBlock(parts []ident.PromptPart, now time.Time) *block {
	for _, b := range q.blocks {
		if now.Before(b.until) && b.covers(parts) {
			return b
		}
	}
	return nil
}

// RecordCrash records a crash that this gate has seen, and returns the blocks
// that follow. Parts known to be sound are not blamed while there are others.
func (q *Quarantine) RecordCrash(c Crash, now time.Time) []Block {
	if c.At.IsZero() {
		c.At = now
	}
	c.Parts = distinct(c.Parts)
	isSound := func(part ident.PromptPart) bool { return q.isSound(part, now) }
	if others := slices.DeleteFunc(slices.Clone(c.Parts), isSound); len(others) > 0 {
		c.Parts = others
	}
	c.Parts = c.Parts[:min(len(c.Parts), maxBlamed)]
	if len(c.Parts) == 0 && c.Request == 0 {
		return nil
	}
	if len(q.unsent.Crashes) < maxPartNews && q.unsentParts+len(c.Parts) <= maxNewsParts {
		q.unsent.Crashes = append(q.unsent.Crashes, c)
		q.unsentParts += len(c.Parts)
	}
	return q.blame(c, now)
}

// isSound reports whether a prompt with the part was answered lately.
func (q *Quarantine) isSound(part ident.PromptPart, now time.Time) bool {
	s := q.sound[part]
	return s != nil && now.Sub(s.seenAt) <= soundMemory
}

// MustLeave reports whether a prompt with the given parts that waits at a server
// must not be answered any more. If all parts that are to blame were sound before,
// it stays: should they still be, its answer shows it.
func (q *Quarantine) MustLeave(parts []ident.PromptPart, now time.Time) bool {
	b := q.findBlock(parts, now)
	return b != nil && slices.ContainsFunc(b.parts, func(part ident.PromptPart) bool { return !q.isSound(part, now) })
}

// distinct returns the parts without repeats, in order. A prompt may have a part
// several times, as a text that is pasted again.
func distinct(parts []ident.PromptPart) []ident.PromptPart {
	seen := make(map[ident.PromptPart]bool, len(parts))
	list := make([]ident.PromptPart, 0, len(parts))
	for _, part := range parts {
		if !seen[part] {
			seen[part] = true
			list = append(list, part)
		}
	}
	return list
}

// blame adds a crash to the record of its request and its distinct parts, and returns
// the blocks that follow. A request that is blocked for its parts is not blocked by
// itself too.
func (q *Quarantine) blame(c Crash, now time.Time) (blocks []Block) {
	var proven []ident.PromptPart
	for _, part := range c.Parts {
		s := q.suspect(part)
		if s == nil {
			continue
		}
		if s.add(c); s.isPartProven() {
			proven = append(proven, part)
		}
	}
	if len(proven) > 0 && q.findBlock(proven, now) == nil {
		blocks = append(blocks, q.block(proven, now))
	}
	if c.Request == 0 {
		return blocks
	}
	s := q.suspect(ident.PromptPart(c.Request))
	if s == nil {
		return blocks
	}
	if s.add(c); len(s.crashes) >= minCrashes && q.findBlock(Suspects(c.Parts, c.Request), now) == nil {
		blocks = append(blocks, q.block([]ident.PromptPart{ident.PromptPart(c.Request)}, now))
	}
	return blocks
}

// suspect returns the record of a part, or nil if there are too many.
func (q *Quarantine) suspect(part ident.PromptPart) *suspect {
	s := q.suspects[part]
	if s == nil && len(q.suspects) < maxParts {
		s = &suspect{}
		q.suspects[part] = s
	}
	return s
}

// add adds a crash, unless it is one of those before.
func (s *suspect) add(c Crash) {
	if !slices.Contains(s.requests, c.Request) && len(s.requests) < minWeakRequests {
		s.requests = append(s.requests, c.Request)
	}
	for i := range s.crashes {
		if m := &s.crashes[i]; m.isSame(c) {
			m.weak = m.weak && c.Weak
			return
		}
	}
	s.crashes = append(s.crashes, crashMark{c.Server, c.At, c.Weak})
}

// isSame reports whether a crash is the one of the mark, or has the same cause
// outside the servers.
func (m *crashMark) isSame(c Crash) bool {
	since := c.At.Sub(m.at).Abs()
	return m.server == c.Server && since < sameCrash || since < crashBurst && c.Ran >= since
}

// isPartProven reports whether there are enough crashes to blame a part of
// prompts.
func (s *suspect) isPartProven() bool {
	strong := 0
	for _, m := range s.crashes {
		if !m.weak {
			strong++
		}
	}
	return strong >= minCrashes && len(s.requests) >= minCrashingRequests ||
		len(s.crashes) >= minWeakCrashes && len(s.requests) >= minWeakRequests
}

// block blocks prompts with all the given suspects. When the block ends, one more
// crash suffices for the next one.
func (q *Quarantine) block(parts []ident.PromptPart, now time.Time) Block {
	before := 0
	for _, part := range parts {
		before = max(before, q.suspects[part].blocks)
	}
	b := &block{parts, now.Add(quarantineLength(before)), before + 1}
	q.blocks = append(q.blocks, b)
	for _, part := range parts {
		s := q.suspects[part]
		s.blocks, s.blockedEnd = b.times, b.until
		s.crashes = slices.Clone(s.crashes[min(1, len(s.crashes)):])
	}
	return b.export(now)
}

// quarantineLength returns how long a part is blocked that was blocked a number
// of times before.
func quarantineLength(before int) time.Duration {
	length := firstQuarantine
	for ; before > 0 && length < maxQuarantine; before-- {
		length = min(2*length, maxQuarantine)
	}
	return length
}

// RecordSound records that a request with the parts in its prompt was answered, and
// returns those whose quarantine ends with it.
func (q *Quarantine) RecordSound(parts []ident.PromptPart, request uint64, now time.Time) (released []ident.PromptPart) {
	if q.suspects[ident.PromptPart(request)] != nil {
		parts = Suspects(parts, request)
	}
	for _, part := range parts {
		suspected := q.suspects[part] != nil
		if q.clear(part, now) {
			released = append(released, part)
			suspected = true
		}
		if s := q.sound[part]; suspected || s != nil && now.Sub(s.toldAt) > soundRefresh {
			q.tellSound(part, now)
		}
	}
	return released
}

func (q *Quarantine) tellSound(part ident.PromptPart, now time.Time) {
	if len(q.unsent.Sound) >= maxPartNews {
		return
	}
	q.unsent.Sound = append(q.unsent.Sound, part)
	if s := q.sound[part]; s != nil {
		s.toldAt = now
	}
}

// clear records that a part is sound, and reports whether it was blocked.
func (q *Quarantine) clear(part ident.PromptPart, now time.Time) (released bool) {
	delete(q.suspects, part)
	for _, b := range q.blocks {
		if i := slices.Index(b.parts, part); i >= 0 {
			b.parts = slices.Delete(b.parts, i, i+1)
			released = true
		}
	}
	if released {
		q.blocks = slices.DeleteFunc(q.blocks, func(b *block) bool { return len(b.parts) == 0 })
	}
	if s := q.sound[part]; s != nil {
		s.seenAt = now
	} else if len(q.sound) < maxParts {
		q.sound[part] = &soundPart{seenAt: now}
	}
	return released
}

// TakeNews returns what other gates have to be told since the last call, and all
// blocks.
func (q *Quarantine) TakeNews(now time.Time) PartNews {
	news := q.unsent
	q.unsent, q.unsentParts = PartNews{}, 0
	parts := 0
	for _, b := range q.blocks {
		if now.Before(b.until) && len(news.Blocks) < maxPartNews && parts+len(b.parts) <= maxNewsParts {
			news.Blocks = append(news.Blocks, b.export(now))
			parts += len(b.parts)
		}
	}
	return news
}

// Merge records what another gate has told, and returns the blocks and the
// releases that follow.
func (q *Quarantine) Merge(news PartNews, now time.Time) (blocks []Block, released []ident.PromptPart) {
	for _, c := range news.Crashes {
		c.Parts = distinct(c.Parts)
		c.Parts = c.Parts[:min(len(c.Parts), maxBlamed)]
		blocks = append(blocks, q.blame(c, now)...)
	}
	for _, part := range news.Sound {
		if q.clear(part, now) {
			released = append(released, part)
		}
		if s := q.sound[part]; s != nil {
			s.toldAt = now
		}
	}
	for _, b := range news.Blocks {
		if q.adopt(b, now) {
			blocks = append(blocks, b)
		}
	}
	return blocks, released
}

// adopt takes over a block that another gate has, as after a restart, and reports
// whether it is new here. A gate that has seen an answer since says so instead.
func (q *Quarantine) adopt(b Block, now time.Time) bool {
	b.Parts, b.Left = distinct(b.Parts), min(max(0, b.Left), maxQuarantine)
	if b.Times < 0 || b.Times > math.MaxInt32 || len(b.Parts) > maxBlamed {
		return false
	}
	age := quarantineLength(b.Times-1) - b.Left
	for _, part := range b.Parts {
		if s := q.sound[part]; s != nil && now.Sub(s.seenAt) < age {
			q.tellSound(part, now)
			return false
		}
	}
	if len(b.Parts) == 0 || len(q.blocks) >= maxPartNews || q.findBlock(b.Parts, now) != nil {
		return false
	}
	q.blocks = append(q.blocks, &block{b.Parts, now.Add(b.Left), b.Times})
	return true
}

// Expire forgets parts of which nothing was heard for a while.
func (q *Quarantine) Expire(now time.Time) {
	q.blocks = slices.DeleteFunc(q.blocks, func(b *block) bool { return !now.Before(b.until) })
	for part, s := range q.sound {
		if now.Sub(s.seenAt) > soundMemory {
			delete(q.sound, part)
		}
	}
	for part, s := range q.suspects {
		last := s.blockedEnd
		if n := len(s.crashes); n > 0 && s.crashes[n-1].at.After(last) {
			last = s.crashes[n-1].at
		}
		if now.Sub(last) > suspectMemory {
			delete(q.suspects, part)
		}
	}
}
