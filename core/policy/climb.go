package policy

import "time"

// Climb is what is known when a model has begun an answer and says how sure
// it is of it, before the caller has received any of it.
type Climb struct {
	// Opinion of the model, 0 to 100; negative if it has none.
	Opinion int
	// Step is the position of the model in the cascade of Steps models.
	Step, Steps int
	// Runs is how many more runs the request may have.
	Runs int
	// Left is the time left until the deadline, and Aim that until the answer
	// counts as late.
	Left, Aim time.Duration
	// Need returns how long the model of a step is expected to take to its
	// first token.
	Need func(step int) time.Duration
}

const (
	// sureOpinion is the opinion from which an answer is good enough.
	sureOpinion = 50
	// lateOpinion takes its place if the larger model would answer late: a
	// late answer is worth about a third.
	lateOpinion = 20
	// leftTimes is how many times the expected time of the larger model must be
	// left; with less the answer at hand is better than none.
	leftTimes = 3
)

// Next returns the step that answers: the same one to keep the answer, or a
// higher one to drop it and ask a larger model.
func (c Climb) Next() (int, Reason) {
	top := c.Steps - 1
	switch {
	case c.Step >= top:
		return c.Step, Last
	case c.Opinion < 0 || c.Opinion >= sureOpinion:
		return c.Step, Sure
	case c.Runs <= 0:
		return c.Step, Late
	}
	for step := top; step > c.Step; step-- {
		if c.Need(step) <= c.Aim {
			return step, Below
		}
	}
	if c.Opinion >= lateOpinion || c.Left < leftTimes*c.Need(top) {
		return c.Step, Late
	}
	return top, Below
}
