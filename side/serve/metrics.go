package serve

import (
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"citronledge.example/core/wire"
	"citronledge.example/side/engine"
)

type metrics struct {
	attempts     *prometheus.CounterVec
	outputTokens *prometheus.CounterVec
	durations    *prometheus.HistogramVec
	panics       prometheus.Counter
}

func newMetrics(reg prometheus.Registerer, s *Server) *metrics {
	m := &metrics{
		attempts: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "side_works_total", Help: "Attempts by kind and outcome.",
		}, []string{"kind", "outcome"}),
		outputTokens: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "side_output_tokens_total", Help: "Output tokens by model and version.",
		}, []string{"model", "version"}),
		durations: prometheus.NewHistogramVec(prometheus.HistogramOpts{
			Name: "side_work_seconds", Help: "Time of attempts that ran, by kind.",
			Buckets: prometheus.ExponentialBuckets(0.002, 2.5, 14), // 2 ms to 300 s
		}, []string{"kind"}),
	}
	m.panics = prometheus.NewCounter(prometheus.CounterOpts{Name: "side_panics_total", Help: "Works that hit a defect."})
	gauge := func(name, help string, value func() float64) prometheus.Collector {
		return prometheus.NewGaugeFunc(prometheus.GaugeOpts{Name: name, Help: help}, value)
	}
	reg.MustRegister(m.attempts, m.outputTokens, m.durations, m.panics,
		gauge("side_running", "Works that run now.", func() float64 { return float64(s.guard.RunningCount()) }),
		gauge("side_revision", "Revision of the configuration in force.", func() float64 {
			return float64(s.guard.Config.View().Revision)
		}),
		gauge("side_leased", "1 while a configuration lease holds.", func() float64 {
			if s.guard.Subleases.Valid(time.Now()) {
				return 1
			}
			return 0
		}),
		gauge("side_uncommitted_operations", "Operations whose end is not committed yet.", func() float64 {
			return float64(len(s.uncommittedOperations()))
		}),
	)
	return m
}

func (m *metrics) observeAttempt(w *wire.Work, out engine.Outcome, took time.Duration) {
	m.attempts.WithLabelValues(w.GetKind(), string(outcomeKind(out))).Inc()
	if !out.Ran {
		return // labels of refused works may be anything
	}
	m.durations.WithLabelValues(w.GetKind()).Observe(took.Seconds())
	if w.GetModel() != "" {
		m.outputTokens.WithLabelValues(w.GetModel(), w.GetVersion()).Add(float64(out.Output))
	}
}
