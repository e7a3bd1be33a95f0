package policy

import "time"

// Escalation is what is known when a model has begun an answer and reports its
// confidence in it, before the caller has received any of it.
type Escalation struct {
	// Confidence of the model in its answer, 0 to 100; negative if it reports
	// none.
	Confidence int
	// Step is the position of the model in the cascade of StepCount models.
	Step, StepCount int
	// RunsLeft is how many more runs the request may have.
	RunsLeft int
	// UntilDeadline is the time left until the deadline, and UntilTarget that
	// until the answer counts as late.
	UntilDeadline, UntilTarget time.Duration
	// TimeToFirstToken returns how long the model of a step is expected to take
	// to its first token.
	TimeToFirstToken func(step int) time.Duration
}

const (
	// sufficientConfidence is the confidence from which an answer is kept.
	sufficientConfidence = 50
	// sufficientConfidenceLate replaces it if the larger model would answer
	// late: a late answer is worth about a third.
	sufficientConfidenceLate = 20
	// deadlineSafetyFactor times the expected time of the larger model must be
	// left until the deadline; with less, the answer at hand is better than
	// none.
	deadlineSafetyFactor = 3
)

// NextStep returns the step that answers: the same one to keep the answer, or a
// higher one to drop it and ask a larger model.
func (e Escalation) NextStep() (int, Reason) {
	largest := e.StepCount - 1
	switch {
	case e.Step >= largest:
		return e.Step, ReasonLastStep
	case e.Confidence < 0 || e.Confidence >= sufficientConfidence:
		return e.Step, ReasonSure
	case e.RunsLeft <= 0:
		return e.Step, ReasonLate
	}
	for step := largest; step > e.Step; step-- {
		if e.TimeToFirstToken(step) <= e.UntilTarget {
			return step, ReasonBelowTarget
		}
	}
	if e.Confidence >= sufficientConfidenceLate || e.UntilDeadline < deadlineSafetyFactor*e.TimeToFirstToken(largest) {
		return e.Step, ReasonLate
	}
	return largest, ReasonBelowTarget
}
