package relay

import (
	"time"

	"github.com/prometheus/client_golang/prometheus"
)

type metrics struct {
	requests       *prometheus.CounterVec
	attempts       *prometheus.CounterVec
	requestLatency *prometheus.HistogramVec
	headLatency    *prometheus.HistogramVec
	running        prometheus.Gauge
	streamReads    prometheus.Counter
	quarantined    prometheus.Counter
	limited        prometheus.Counter
	panics         prometheus.Counter
	evacuatedZones prometheus.Gauge
	prefixTokens   *prometheus.CounterVec
	prefixAttempts *prometheus.CounterVec
}

func newMetrics() metrics {
	buckets := prometheus.ExponentialBuckets(0.005, 2, 12) // 5 ms to 10 s
	return metrics{
		requests:       prometheus.NewCounterVec(prometheus.CounterOpts{Name: "relay_requests_total", Help: "Requests by kind of route and end."}, []string{"kind", "end"}),
		attempts:       prometheus.NewCounterVec(prometheus.CounterOpts{Name: "relay_attempts_total", Help: "Attempts by kind of route and outcome."}, []string{"kind", "outcome"}),
		requestLatency: prometheus.NewHistogramVec(prometheus.HistogramOpts{Name: "relay_request_seconds", Help: "Time to the end of the answer.", Buckets: buckets}, []string{"kind"}),
		headLatency:    prometheus.NewHistogramVec(prometheus.HistogramOpts{Name: "relay_head_seconds", Help: "Time of an attempt to the head of its answer.", Buckets: buckets}, []string{"kind"}),
		running:        prometheus.NewGauge(prometheus.GaugeOpts{Name: "relay_running_requests", Help: "Requests under way."}),
		streamReads:    prometheus.NewCounter(prometheus.CounterOpts{Name: "relay_stream_reads_total", Help: "Parts of streams passed on."}),
		quarantined:    prometheus.NewCounter(prometheus.CounterOpts{Name: "relay_quarantined_requests_total", Help: "Requests ended because a part of their prompts crashes backend servers."}),
		limited:        prometheus.NewCounter(prometheus.CounterOpts{Name: "relay_limited_attempts_total", Help: "Attempts that were not made because all backend servers limit their requests or pause."}),
		panics:         prometheus.NewCounter(prometheus.CounterOpts{Name: "relay_panics_total", Help: "Requests ended because the gate panicked."}),
		evacuatedZones: prometheus.NewGauge(prometheus.GaugeOpts{Name: "relay_evacuated_zones", Help: "Availability zones whose backend servers get no new attempts."}),
		prefixTokens:   prometheus.NewCounterVec(prometheus.CounterOpts{Name: "relay_prefix_tokens_total", Help: "Tokens of prompts that were expected to be held, by what that rests on and whether they were."}, []string{"basis", "verdict"}),
		prefixAttempts: prometheus.NewCounterVec(prometheus.CounterOpts{Name: "relay_prefix_attempts_total", Help: "Attempts at servers that were expected to hold parts of the prompt, by what that rests on and whether they did."}, []string{"basis", "verdict"}),
	}
}

func (m *metrics) register(reg prometheus.Registerer) {
	reg.MustRegister(m.requests, m.attempts, m.requestLatency, m.headLatency, m.running, m.streamReads, m.quarantined, m.limited, m.panics, m.evacuatedZones, m.prefixTokens, m.prefixAttempts)
}

func (m *metrics) observeEnd(kind, end string, took time.Duration) {
	m.requests.WithLabelValues(kind, end).Inc()
	m.requestLatency.WithLabelValues(kind).Observe(took.Seconds())
}
