package policy

// Reasons of Choose.
const (
	None  Reason = "none"
	Least Reason = "least"
)

// Choose returns the index of the backend server for an attempt, or -1 if
// none may take it.
func Choose(ask Ask, list []Candidate) (int, Reason) {
	best := -1
	for i := range list {
		c := &list[i]
		if c.Ejected || c.Backend == ask.Avoid || c.InFlight >= c.Slots {
			continue
		}
		if best < 0 || c.InFlight < list[best].InFlight {
			best = i
		}
	}
	if best < 0 {
		return -1, None
	}
	return best, Least
}
