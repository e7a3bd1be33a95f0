package policy

import (
	"slices"
	"time"

	"citronledge.example/core/ident"
)

const (
	// minCrashes is the number of crashes after which a part of a prompt is
	// quarantined, and minCrashingRequests that of requests among them: the other
	// parts of a single request are as suspect as the one that is to blame.
	minCrashes          = 3
	minCrashingRequests = 2
	// crashBurst is the time within which crashes count as one: a loss of power
	// ends many servers at once, whatever they were doing.
	crashBurst = 200 * time.Millisecond
	// sameCrash is the time within which the reports of a server are about one
	// crash. A server takes longer to start again.
	sameCrash = time.Second
	// firstQuarantine doubles with each quarantine of a part that crashed a server
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
)

// Crash is a server that broke off an answer as it began.
type Crash struct {
	Server  uint32 // hash of its ID
	Request uint64 // hash of the request's ID
	// Parts are those that may have caused it.
	Parts []ident.PromptPart
}

// Block is the quarantine of a part of prompts.
type Block struct {
	Part  ident.PromptPart
	Left  time.Duration
	Times int // that it was quarantined in a row
}

// PartNews is what gates tell each other about parts of prompts.
type PartNews struct {
	Crashes []Crash
	Sound   []ident.PromptPart // answers to prompts with them have begun
	Blocks  []Block
}

// Quarantine finds the part of prompts that crashes each server that begins to
// answer them, and blocks it. A part is blamed for a crash if a server broke off
// the answer to a prompt with it before the first event. It is cleared by each
// answer that begins at any gate. It answers the load of requests that share a
// deadly part, come at many gates, and would crash one server after the other.
//
// It is not safe for concurrent use.
type Quarantine struct {
	suspects map[ident.PromptPart]*suspect
	sound    map[ident.PromptPart]*soundPart
	unsent   PartNews // without Blocks
}

// suspect is a part of a prompt that no answer has cleared since the crashes.
type suspect struct {
	crashes      []crashMark
	requests     []uint64 // that crashed a server
	blockedUntil time.Time
	blocks       int // in a row
}

type crashMark struct {
	server uint32
	at     time.Time
}

// soundPart says when an answer to a prompt with the part last began, and when
// the gates last told each other.
type soundPart struct{ seenAt, toldAt time.Time }

// NewQuarantine returns a quarantine without suspects.
func NewQuarantine() *Quarantine {
	return &Quarantine{suspects: map[ident.PromptPart]*suspect{}, sound: map[ident.PromptPart]*soundPart{}}
}

// Blocked returns the quarantine of the first of the parts that has one.
func (q *Quarantine) Blocked(parts []ident.PromptPart, now time.Time) (Block, bool) {
	for _, part := range parts {
		if s := q.suspects[part]; s != nil && now.Before(s.blockedUntil) {
			return Block{part, s.blockedUntil.Sub(now), s.blocks}, true
		}
	}
	return Block{}, false
}

// RecordCrash records a crash that this gate has seen, and returns the blocks
// that follow. Parts known to be sound are not blamed while there are others.
func (q *Quarantine) RecordCrash(c Crash, now time.Time) []Block {
	isSound := func(part ident.PromptPart) bool {
		s := q.sound[part]
		return s != nil && now.Sub(s.seenAt) <= soundMemory
	}
	if others := slices.DeleteFunc(slices.Clone(c.Parts), isSound); len(others) > 0 {
		c.Parts = others
	}
	if len(c.Parts) == 0 {
		return nil
	}
	if len(q.unsent.Crashes) < maxPartNews {
		q.unsent.Crashes = append(q.unsent.Crashes, c)
	}
	return q.blame(c, now)
}

// blame adds a crash to the record of its parts.
func (q *Quarantine) blame(c Crash, now time.Time) (blocks []Block) {
	for _, part := range c.Parts {
		s := q.suspects[part]
		if s == nil {
			if len(q.suspects) >= maxParts {
				continue
			}
			s = &suspect{}
			q.suspects[part] = s
		}
		s.add(c, now)
		if s.isProven() && !now.Before(s.blockedUntil) {
			blocks = append(blocks, s.block(part, now))
		}
	}
	return blocks
}

func (s *suspect) add(c Crash, now time.Time) {
	if !slices.Contains(s.requests, c.Request) && len(s.requests) < minCrashingRequests {
		s.requests = append(s.requests, c.Request)
	}
	for _, m := range s.crashes {
		if since := now.Sub(m.at); since < crashBurst || m.server == c.Server && since < sameCrash {
			return
		}
	}
	s.crashes = append(s.crashes, crashMark{c.Server, now})
}

func (s *suspect) isProven() bool {
	return len(s.crashes) >= minCrashes && len(s.requests) >= minCrashingRequests
}

// block blocks the part. When the block ends, one more crash suffices for the
// next one.
func (s *suspect) block(part ident.PromptPart, now time.Time) Block {
	length := quarantineLength(s.blocks)
	s.blocks++
	s.blockedUntil = now.Add(length)
	s.crashes = slices.Clone(s.crashes[len(s.crashes)-minCrashes+1:])
	return Block{part, length, s.blocks}
}

// quarantineLength returns how long a part is blocked that was blocked a number
// of times before.
func quarantineLength(before int) time.Duration {
	length := firstQuarantine
	for range before {
		length = min(2*length, maxQuarantine)
	}
	return length
}

// RecordSound records that an answer to a prompt with the parts has begun, and
// returns the parts whose quarantine ends with it.
func (q *Quarantine) RecordSound(parts []ident.PromptPart, now time.Time) (released []ident.PromptPart) {
	for _, part := range parts {
		suspected := q.suspects[part] != nil
		released = append(released, q.clear(part, now)...)
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

// clear records that a part is sound.
func (q *Quarantine) clear(part ident.PromptPart, now time.Time) (released []ident.PromptPart) {
	if s := q.suspects[part]; s != nil {
		if now.Before(s.blockedUntil) {
			released = append(released, part)
		}
		delete(q.suspects, part)
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
	q.unsent = PartNews{}
	for part, s := range q.suspects {
		if now.Before(s.blockedUntil) && len(news.Blocks) < maxPartNews {
			news.Blocks = append(news.Blocks, Block{part, s.blockedUntil.Sub(now), s.blocks})
		}
	}
	return news
}

// Merge records what another gate has told, and returns the blocks and the
// releases that follow.
func (q *Quarantine) Merge(news PartNews, now time.Time) (blocks []Block, released []ident.PromptPart) {
	for _, c := range news.Crashes {
		blocks = append(blocks, q.blame(c, now)...)
	}
	for _, part := range news.Sound {
		released = append(released, q.clear(part, now)...)
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
// whether it is new here. A gate that knows better says so instead.
func (q *Quarantine) adopt(b Block, now time.Time) bool {
	age := quarantineLength(b.Times-1) - b.Left
	if s := q.sound[b.Part]; s != nil && now.Sub(s.seenAt) < age {
		q.tellSound(b.Part, now)
		return false
	}
	s := q.suspects[b.Part]
	if s == nil {
		if len(q.suspects) >= maxParts {
			return false
		}
		s = &suspect{}
		q.suspects[b.Part] = s
	}
	if now.Before(s.blockedUntil) {
		return false
	}
	s.blockedUntil, s.blocks = now.Add(b.Left), b.Times
	return true
}

// Expire forgets parts of which nothing was heard for a while.
func (q *Quarantine) Expire(now time.Time) {
	for part, s := range q.sound {
		if now.Sub(s.seenAt) > soundMemory {
			delete(q.sound, part)
		}
	}
	for part, s := range q.suspects {
		last := s.blockedUntil
		if n := len(s.crashes); n > 0 && s.crashes[n-1].at.After(last) {
			last = s.crashes[n-1].at
		}
		if now.Sub(last) > suspectMemory {
			delete(q.suspects, part)
		}
	}
}
