package node

import (
	"errors"
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"citronledge.example/core/wire"
	"citronledge.example/state/raft"
)

type metrics struct {
	proposals *prometheus.CounterVec
	commit    prometheus.Histogram
	inForce   prometheus.Histogram
	polls     *prometheus.CounterVec
}

func newMetrics(n *Node) *metrics {
	m := &metrics{
		proposals: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "state_proposals_total", Help: "Proposed commands by kind and outcome.",
		}, []string{"kind", "outcome"}),
		commit: prometheus.NewHistogram(prometheus.HistogramOpts{
			Name: "state_commit_seconds", Help: "Time until a proposed command was committed and applied.",
			Buckets: prometheus.ExponentialBuckets(0.0005, 2, 14),
		}),
		inForce: prometheus.NewHistogram(prometheus.HistogramOpts{
			Name: "state_force_seconds", Help: "Time until a revision was in force everywhere.",
			Buckets: prometheus.ExponentialBuckets(0.001, 2, 13),
		}),
		polls: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "state_member_polls_total", Help: "Polls of the platform's list of members by outcome.",
		}, []string{"outcome"}),
	}
	revision := prometheus.NewGaugeFunc(prometheus.GaugeOpts{
		Name: "state_revision", Help: "Revision of the configuration.",
	}, func() float64 { return float64(n.ledger.Revision()) })
	leases := prometheus.NewGaugeFunc(prometheus.GaugeOpts{
		Name: "state_leases", Help: "Leases held; 0 unless this process leads.",
	}, func() float64 {
		n.mu.Lock()
		defer n.mu.Unlock()
		if n.epoch == nil {
			return 0
		}
		return float64(len(n.epoch.holders))
	})
	n.registry.MustRegister(m.proposals, m.commit, m.inForce, m.polls, revision, leases)
	return m
}

// observeProposal counts a proposal by its kind and outcome, and observes the
// commit time if it was committed.
func (m *metrics) observeProposal(c *wire.Command, err error, took time.Duration) {
	outcome := "committed"
	var unknown raft.OutcomeUnknown
	switch {
	case err == nil:
		m.commit.Observe(took.Seconds())
	case errors.As(err, &unknown):
		outcome = "unknown"
	default:
		outcome = "refused"
	}
	m.proposals.WithLabelValues(commandKind(c), outcome).Inc()
}

// commandKind returns the name of a command's kind as in the .proto file.
func commandKind(c *wire.Command) string {
	m := c.ProtoReflect()
	if f := m.WhichOneof(m.Descriptor().Oneofs().ByName("kind")); f != nil {
		return string(f.Name())
	}
	return "none"
}
