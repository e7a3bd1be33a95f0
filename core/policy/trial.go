package policy

// Stats sums up what was seen of one version during a roll-out.
type Stats struct {
	// Answers counts finished attempts, Failures the failed ones and Slow the
	// ones over the latency limit of their kind.
	Answers, Failures, Slow int64
	// Rated counts answers with a rating.
	Rated int64
	// Quality is the sum of the ratings, Squares the sum of their squares.
	Quality, Squares float64
}

// Add returns the sum of two Stats.
func (s Stats) Add(o Stats) Stats {
	return Stats{
		Answers:  s.Answers + o.Answers,
		Failures: s.Failures + o.Failures,
		Slow:     s.Slow + o.Slow,
		Rated:    s.Rated + o.Rated,
		Quality:  s.Quality + o.Quality,
		Squares:  s.Squares + o.Squares,
	}
}

// Verdict is the outcome of a look at a roll-out.
type Verdict uint8

// Verdicts of Judge.
const (
	// Continue asks for more answers.
	Continue Verdict = iota
	// Advance allows the next step.
	Advance
	// Halt stops the roll-out.
	Halt
)
