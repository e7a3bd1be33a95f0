package policy

import "time"

// PrefixKey names a part of a prompt behind all parts before it, for one
// service and model: equal parts after different beginnings have different
// keys.
type PrefixKey uint64

// PrefixPart is a part of a prompt that other requests may share.
type PrefixPart struct {
	Key    PrefixKey
	Tokens float64 // of its model
}

const (
	// maxPrefixParts limits the parts that a table remembers, over all servers.
	// Each takes about 100 bytes with its share of the index.
	maxPrefixParts = 6000
	// prefixJudgementWeight is the weight of the last prediction in the
	// confidence. Times to the first token also vary for other reasons, so that
	// a few misjudged predictions must not matter.
	prefixJudgementWeight = 0.1
)

// PrefixTable holds the records of the prefix caches of all servers that one
// gate uses. It is not safe for concurrent use.
type PrefixTable struct {
	entries []prefixEntry // entry 0 stands for none
	free    prefixIndex   // first unused entry
	holders map[PrefixKey]prefixIndex
	all     prefixList // from the least to the most recently used
	round   uint64     // number of the last Match
}

// PrefixRecord estimates the prefix cache of one server: the parts that the
// server has read and not evicted. Requests take room behind the parts that
// they use, and the least recently used parts are evicted. The room that no
// known part takes is counted between the parts that were used before and after
// it.
type PrefixRecord struct {
	table  *PrefixTable
	parts  prefixList // from the least to the most recently used
	tokens float64    // of parts
	other  float64    // other tokens in the cache
	before float64    // those of them that are older than the oldest part
	doubt  float64    // share of the predictions that proved wrong

	round   uint64 // number of the Match that the next two belong to
	matched int
	held    float64
}

type prefixIndex int32

// prefixEntry is a part in the record of a server.
type prefixEntry struct {
	key    PrefixKey
	record *PrefixRecord
	tokens float32
	later  float32 // other tokens read after the last use, before the next entry's
	// links are the neighbors in each list. An unused entry has the next unused
	// one as the newer one of tableList.
	links [prefixLists]prefixLink
}

// prefixLists is the number of lists that an entry is in: that of its table,
// that of its record, and that of the entries with its key.
const prefixLists = 3

const (
	tableList = iota
	recordList
	holderList
)

type prefixLink struct{ older, newer prefixIndex }

// prefixList is a list of entries linked by their links of one kind.
type prefixList struct{ oldest, newest prefixIndex }

// NewPrefixTable returns a table without records.
func NewPrefixTable() *PrefixTable {
	return &PrefixTable{entries: make([]prefixEntry, 1), holders: map[PrefixKey]prefixIndex{}}
}

// NewRecord returns the record of a server that holds nothing. When the server
// is no longer used, Forget must be called.
func (t *PrefixTable) NewRecord() *PrefixRecord { return &PrefixRecord{table: t} }

// Match looks up the parts of a prompt, in order, for Held of all records.
func (t *PrefixTable) Match(parts []PrefixPart) {
	t.round++
	for i, part := range parts {
		found := false
		for n := t.holders[part.Key]; n != 0; n = t.entries[n].links[holderList].newer {
			r := t.entries[n].record
			if i == 0 {
				r.round, r.matched, r.held = t.round, 0, 0
			}
			if r.round == t.round && r.matched == i {
				r.matched++
				r.held += part.Tokens
				found = true
			}
		}
		if !found {
			return
		}
	}
}

// Held returns the tokens of the last matched prompt that the server is
// expected to hold. A part counts only if all parts before it are held.
func (r *PrefixRecord) Held() float64 {
	if r == nil || r.round != r.table.round {
		return 0
	}
	return r.held
}

// Read records that the server has read a prompt with these parts. other is the
// number of tokens that the request and those of other gates took besides;
// running is the number of tokens of the running requests besides their shared
// parts, as a lower bound of other, and capacity what the server holds in all.
func (r *PrefixRecord) Read(parts []PrefixPart, other, running, capacity float64) {
	r.addOther(other)
	// Used from the last to the first: a part is of no use without those before
	// it, so it must be evicted first.
	for i := len(parts) - 1; i >= 0; i-- {
		r.use(parts[i])
	}
	for r.parts.oldest != 0 {
		excess := r.tokens + max(r.other, running) - capacity
		if excess <= 0 {
			break
		}
		if r.before > 0 && r.other > running {
			evicted := min(r.before, excess)
			r.before, r.other = r.before-evicted, r.other-evicted
		} else {
			r.table.remove(r.parts.oldest)
		}
	}
}

// addOther adds tokens of no known part behind the part that was used last.
func (r *PrefixRecord) addOther(tokens float64) {
	if r.parts.newest == 0 {
		r.other, r.before = 0, 0 // no known part can be evicted
		return
	}
	r.table.entries[r.parts.newest].later += float32(tokens)
	r.other += tokens
}

// use makes a part the most recently used one.
func (r *PrefixRecord) use(part PrefixPart) {
	t := r.table
	for n := t.holders[part.Key]; n != 0; n = t.entries[n].links[holderList].newer {
		if t.entries[n].record == r {
			t.remove(n)
			break
		}
	}
	if t.free == 0 && len(t.entries) > maxPrefixParts {
		t.remove(t.all.oldest)
	}
	n := t.free
	if n != 0 {
		t.free = t.entries[n].links[tableList].newer
	} else {
		n = prefixIndex(len(t.entries))
		t.entries = append(t.entries, prefixEntry{})
	}
	t.entries[n] = prefixEntry{key: part.Key, record: r, tokens: float32(part.Tokens)}
	t.push(&t.all, tableList, n)
	t.push(&r.parts, recordList, n)
	first := t.holders[part.Key]
	t.entries[n].links[holderList].newer = first
	if first != 0 {
		t.entries[first].links[holderList].older = n
	}
	t.holders[part.Key] = n
	r.tokens += float64(t.entries[n].tokens)
}

// remove removes an entry. The other tokens read after it stay where they are
// in the order.
func (t *PrefixTable) remove(n prefixIndex) {
	e := t.entries[n]
	r := e.record
	if older := e.links[recordList].older; older != 0 {
		t.entries[older].later += e.later
	} else {
		r.before += float64(e.later)
	}
	r.tokens = max(0, r.tokens-float64(e.tokens))
	t.unlink(&t.all, tableList, n)
	t.unlink(&r.parts, recordList, n)
	holders := prefixList{oldest: t.holders[e.key]}
	t.unlink(&holders, holderList, n)
	if t.holders[e.key] = holders.oldest; holders.oldest == 0 {
		delete(t.holders, e.key)
	}
	t.entries[n] = prefixEntry{}
	t.entries[n].links[tableList].newer = t.free
	t.free = n
}

// push adds an entry as the newest one of a list.
func (t *PrefixTable) push(l *prefixList, kind int, n prefixIndex) {
	t.entries[n].links[kind] = prefixLink{older: l.newest}
	if l.newest != 0 {
		t.entries[l.newest].links[kind].newer = n
	} else {
		l.oldest = n
	}
	l.newest = n
}

// unlink takes an entry out of a list.
func (t *PrefixTable) unlink(l *prefixList, kind int, n prefixIndex) {
	link := t.entries[n].links[kind]
	if link.older != 0 {
		t.entries[link.older].links[kind].newer = link.newer
	} else {
		l.oldest = link.newer
	}
	if link.newer != 0 {
		t.entries[link.newer].links[kind].older = link.older
	} else {
		l.newest = link.older
	}
}

// Forget empties the record, as after a restart of the server.
func (r *PrefixRecord) Forget() {
	for r.parts.oldest != 0 {
		r.table.remove(r.parts.oldest)
	}
	r.other, r.before, r.doubt, r.round = 0, 0, 0, 0
}

// PrefixBasis says what an expectation of held parts rests on.
type PrefixBasis uint8

// Bases of expectations.
const (
	// PrefixUnknown: nothing is expected to be held.
	PrefixUnknown PrefixBasis = iota
	// PrefixRecorded: the record of the server has the parts.
	PrefixRecorded
	// PrefixBelieved: other gates send the requests with these parts there.
	PrefixBelieved
	// PrefixAssumed: no records are kept, and the preferred server is taken to
	// hold the parts.
	PrefixAssumed
)

// String returns the name used in logs.
func (b PrefixBasis) String() string {
	return [...]string{"none", "record", "belief", "assumed"}[b]
}

// PrefixVerdict says whether the parts that were expected at a server were held.
type PrefixVerdict uint8

// Verdicts on expectations.
const (
	// PrefixUndecided: the time to the first token does not show it, or nothing
	// was expected.
	PrefixUndecided PrefixVerdict = iota
	// PrefixHeld and PrefixMissed: the parts were held, or not.
	PrefixHeld
	PrefixMissed
)

// String returns the name used in logs and metrics.
func (v PrefixVerdict) String() string {
	return [...]string{"undecided", "held", "missed"}[v]
}

// Credit returns the tokens of the last matched prompt that count as held: fewer
// than Held if many predictions for the server proved wrong.
func (r *PrefixRecord) Credit() float64 {
	if r == nil {
		return 0
	}
	return r.Held() * (1 - r.doubt)
}

// Observe records whether an expectation proved right. Only those that rest on
// the record change the confidence in it.
func (r *PrefixRecord) Observe(b PrefixBasis, v PrefixVerdict) {
	if b != PrefixRecorded || v == PrefixUndecided {
		return
	}
	wrong := 0.0
	if v == PrefixMissed {
		wrong = 1
	}
	r.doubt += prefixJudgementWeight * (wrong - r.doubt)
}

const (
	// minPrefixSaving is the least time in ms that held parts must save, and
	// minPrefixSavingShare the least share of the whole time, for the time to
	// the first token to show whether they were held. Smaller differences
	// disappear among the steps of a full batch.
	minPrefixSaving      = 10
	minPrefixSavingShare = 0.2
)

// minCertainAttempts is the number of attempts on a model of which it is certain
// what was read, from which only such attempts count and expectations are judged.
const minCertainAttempts = 20

// ObservePrompt counts an attempt at a server that was expected to hold tokens of
// its prompt. Uncertain ones do not count, as the estimates would confirm the
// expectations by which they are judged. As long as there are few others, they
// count as if nothing was held.
func (e *FirstTokenEstimator) ObservePrompt(latency time.Duration, p Prompt, b PrefixBasis, v PrefixVerdict, held, workBefore float64) {
	certain := b == PrefixUnknown || b == PrefixAssumed || b == PrefixRecorded && v != PrefixMissed
	if !certain {
		if m := e.models[p.Model]; m != nil && m.certain >= minCertainAttempts {
			return
		}
		held = 0
	}
	e.Observe(latency, p, p.Tokens(held), workBefore)
	if m := e.models[p.Model]; m != nil && certain {
		m.certain++
	}
}

// JudgePrefix tells from the time to the first token whether the held tokens
// that were expected at the server were held.
func (e *FirstTokenEstimator) JudgePrefix(took time.Duration, p Prompt, b PrefixBasis, held, workBefore float64) PrefixVerdict {
	if m := e.models[p.Model]; m == nil || m.certain < minCertainAttempts || b == PrefixUnknown || b == PrefixAssumed {
		return PrefixUndecided
	}
	whole := p.Tokens(0)
	ifMissed := e.Expected(p, whole, workBefore)
	saving := ifMissed - e.Expected(p, whole-held, workBefore)
	if saving < minPrefixSaving*time.Millisecond || float64(saving) < minPrefixSavingShare*float64(ifMissed) {
		return PrefixUndecided
	}
	switch {
	case took < ifMissed-saving/2:
		return PrefixHeld
	case took < ifMissed+saving:
		return PrefixMissed
	}
	return PrefixUndecided // it waited for something else
}
