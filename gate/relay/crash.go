package relay

import (
	"strings"

	"k8s.io/klog/v2"
)

// recordCrash logs an answer that its server began and then broke off, as a
// server does that its prompt crashes.
func (x *attempt) recordCrash() {
	if !x.brokenOff || x.eventsSent > 0 || len(x.head.PromptParts) == 0 {
		return
	}
	klog.InfoS("Answer broke off as it began", "id", x.head.AttemptID, "try", x.attempts, "backend", x.assignment.ID, "head", x.headLatency, "events", x.eventsSent, "parts", partIDs(x.call))
}

// maxLoggedParts limits the parts of a prompt in a log line.
const maxLoggedParts = 8

// partIDs returns the IDs of the parts of the prompt that other requests may
// share.
func partIDs(c *call) string {
	var ids []string
	for _, part := range c.sharedParts() {
		if len(ids) == maxLoggedParts {
			break
		}
		ids = append(ids, part.ID)
	}
	return strings.Join(ids, ",")
}
