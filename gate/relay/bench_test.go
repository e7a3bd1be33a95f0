package relay_test

import (
	"io"
	"net/http"
	"syscall"
	"testing"
	"time"

	"github.com/go-logr/logr"
	"k8s.io/klog/v2"

	"citronledge.example/core/logs"
	"citronledge.example/stub/runner"
)

// BenchmarkLogging runs a request and its stream of 20 events, with caller and
// backend server in the same process, with and without log lines. The
// difference is the cost of logging.
func BenchmarkLogging(b *testing.B) {
	for name, on := range map[string]bool{"on": true, "off": false} {
		b.Run(name, func(b *testing.B) {
			r := newRig(b, runner.Events(1, 20, 0, ""))
			if on {
				w := logs.New(io.Discard)
				klog.LogToStderr(false)
				klog.SetOutput(w)
				defer w.Close()
			} else {
				klog.SetLogger(logr.Discard())
				defer klog.ClearLogger()
			}
			before := cpuTime(b)
			b.ResetTimer()
			for range b.N {
				if got := r.send(http.MethodPost, "/stream/x", "b", map[string]string{"Token-Usage": "10,10"}); got.status != 200 {
					b.Fatalf("got %d", got.status)
				}
			}
			b.ReportMetric(float64((cpuTime(b)-before).Microseconds())/float64(b.N), "cpu-us/op")
		})
	}
}

// cpuTime returns the processor time of this process.
func cpuTime(b *testing.B) time.Duration {
	var u syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &u); err != nil {
		b.Fatal(err)
	}
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}
