package route

import (
	"context"
	"errors"
	"time"

	"github.com/prometheus/client_golang/prometheus"
)

// metrics are the metrics of a Router. They have no customer label, because the
// number of series must not grow with the number of customers.
type metrics struct {
	requests  *prometheus.CounterVec
	addedTime prometheus.Histogram
	refusals  *prometheus.CounterVec
	retries   prometheus.Counter
	hedges    prometheus.Counter
	resumes   prometheus.Counter
	queued    prometheus.GaugeFunc
}

func newMetrics(r *Router) metrics {
	counter := func(name, help string) prometheus.Counter {
		return prometheus.NewCounter(prometheus.CounterOpts{Name: "gate_" + name, Help: help})
	}
	vec := func(name, help string, labels ...string) *prometheus.CounterVec {
		return prometheus.NewCounterVec(prometheus.CounterOpts{Name: "gate_" + name, Help: help}, labels)
	}
	return metrics{
		requests: vec("requests_total", "Requests by kind of work and outcome.", "kind", "outcome"),
		refusals: vec("refusals_total", "Requests refused by admission, by reason.", "reason"),
		retries:  counter("retries_total", "Attempts made after a failed one."),
		hedges:   counter("hedges_total", "Attempts made beside a slow one."),
		resumes:  counter("resumes_total", "Streams that went on on another backend server."),
		addedTime: prometheus.NewHistogram(prometheus.HistogramOpts{
			Name: "gate_added_seconds", Help: "Time of a request outside its attempts.",
			Buckets: prometheus.ExponentialBuckets(50e-6, 2, 16),
		}),
		queued: prometheus.NewGaugeFunc(prometheus.GaugeOpts{
			Name: "gate_queue_length", Help: "Requests that wait for a slot.",
		}, func() float64 { return float64(r.Queued()) }),
	}
}

func (m metrics) register(reg prometheus.Registerer) {
	reg.MustRegister(m.requests, m.addedTime, m.refusals, m.retries, m.hedges, m.resumes, m.queued)
}

func (m metrics) countRefusal(reason string) { m.refusals.WithLabelValues(reason).Inc() }

func (m metrics) countRequest(x *execution, err error) {
	result := outcome(err)
	if errors.Is(err, ErrTruncated) {
		result = "cut"
	}
	if err == nil && x.incomplete {
		result = "broken"
	}
	m.requests.WithLabelValues(x.req.Kind.String(), result).Inc()
	if err == nil || !errors.Is(err, context.Canceled) {
		m.addedTime.Observe(max(0, x.record.Duration-x.attemptTime()).Seconds())
	}
}

// attemptTime returns the total time during which at least one attempt was in
// flight.
func (x *execution) attemptTime() time.Duration {
	var total time.Duration
	var until time.Time
	for _, s := range x.record.Attempts { // ordered by start, except for hedges, which overlap
		from, to := s.start, s.start.Add(s.Duration)
		if from.Before(until) {
			from = until
		}
		if to.After(from) {
			total += to.Sub(from)
			until = to
		}
	}
	return total
}
