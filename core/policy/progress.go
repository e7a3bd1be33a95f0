package policy

import "time"

const (
	// stallFactor is how many times its usual pause a stream may make. Sound
	// streams pause for up to ten times as long while their server reads long
	// prompts.
	stallFactor = 20
	// stallGapFactor is how many times the longest pause of its route's target a
	// stream may make at least, and minStall the least time that it may.
	stallGapFactor = 3
	minStall       = 3 * time.Second
)

// StallTimeout returns how long a stream may go without a whole event before it
// counts as stalled: usual is the usual time between two events on its model at
// the load of its server, and maxGap the longest pause of its route's target,
// each 0 if it is not known. Bytes that are no whole event don't count, so a
// server cannot hold a caller by sending a few now and then; a slow stream that
// keeps its pace never stalls.
func StallTimeout(usual, maxGap time.Duration) time.Duration {
	return max(minStall, stallFactor*usual, stallGapFactor*maxGap)
}
