package policy

import "time"

// Escalation is what is known when a model has begun an answer and says how sure
// it is of it, before the caller has received any of it.
type Escalation struct {
	// Confidence of the model, 0 to 100; negative if it has none.
	Confidence int
	// Step is the position of the model in the cascade of StepCount models.
	Step, StepCount int
	// RunsLeft is how many more runs the request may have.
	RunsLeft int
	// UntilDeadline is the time left until the deadline, and UntilTarget that until the answer
	// counts as late.
	UntilDeadline, UntilTarget time.Duration
	// TimeToFirstToken returns how long the model of a step is expected to take to its
	// first token.
	TimeToFirstToken func(step int) time.Duration
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

// NextStep returns the step that answers: the same one to keep the answer, or a
// higher one to drop it and ask a larger model.
func (c Escalation) NextStep() (int, Reason) {
	top := c.StepCount - 1
	switch {
	case c.Step >= top:
		return c.Step, ReasonLastStep
	case c.Confidence < 0 || c.Confidence >= sureOpinion:
		return c.Step, ReasonSure
	case c.RunsLeft <= 0:
		return c.Step, ReasonLate
	}
	for step := top; step > c.Step; step-- {
		if c.TimeToFirstToken(step) <= c.UntilTarget {
			return step, ReasonBelowTarget
		}
	}
	if c.Confidence >= lateOpinion || c.UntilDeadline < leftTimes*c.TimeToFirstToken(top) {
		return c.Step, ReasonLate
	}
	return top, ReasonBelowTarget
}
