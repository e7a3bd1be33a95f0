// Package logs writes the log lines of a program to a stream that may stall,
// without ever blocking the program.
package logs

import (
	"fmt"
	"io"
	"sync"
	"time"

	"k8s.io/klog/v2"
)

const (
	// mostWaiting bounds the bytes that wait for the writer.
	mostWaiting = 256 << 10
	// flushEvery joins the lines of a short time into one write.
	flushEvery = 100 * time.Millisecond
)

// Writer takes lines and writes them in the background. Lines that do not fit
// are counted and left out; the count is written when there is room again.
type Writer struct {
	out io.Writer

	mu      sync.Mutex
	waiting []byte
	left    int // lines left out
	writing bool
	stopped bool
	wake    chan struct{}
	done    chan struct{}
}

// New returns a writer to out; Close ends it.
func New(out io.Writer) *Writer {
	w := &Writer{out: out, wake: make(chan struct{}, 1), done: make(chan struct{})}
	go w.run()
	return w
}

// Write implements io.Writer. It never fails.
func (w *Writer) Write(line []byte) (int, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if len(w.waiting)+len(line) > mostWaiting {
		w.left++
		return len(line), nil
	}
	if w.left > 0 {
		w.waiting = fmt.Appendf(w.waiting, "%d log lines were left out: the reader of the log is slow\n", w.left)
		w.left = 0
	}
	w.waiting = append(w.waiting, line...)
	if !w.writing {
		w.writing = true
		select {
		case w.wake <- struct{}{}:
		default:
		}
	}
	return len(line), nil
}

func (w *Writer) run() {
	defer close(w.done)
	var spare []byte
	for range w.wake {
		for {
			w.mu.Lock()
			if len(w.waiting) == 0 {
				w.writing = false
				stopped := w.stopped
				w.mu.Unlock()
				if stopped {
					return
				}
				break
			}
			// Lines go on arriving while data is written, in the other buffer.
			data := w.waiting
			w.waiting = spare[:0]
			w.mu.Unlock()
			// A log that cannot be written has nowhere to be reported.
			_, _ = w.out.Write(data)
			spare = data
			time.Sleep(flushEvery)
		}
	}
}

// closeTime bounds the wait for the reader at the end of the program.
const closeTime = 300 * time.Millisecond

// Close writes what waits, for a short time.
func (w *Writer) Close() {
	w.mu.Lock()
	w.stopped, w.writing = true, true
	w.mu.Unlock()
	select {
	case w.wake <- struct{}{}:
	default:
	}
	select {
	case <-w.done:
	case <-time.After(closeTime):
	}
}

// Start sends the lines of klog to out and returns the function that ends it.
func Start(out io.Writer) (stop func()) {
	w := New(out)
	klog.LogToStderr(false)
	klog.SetOutput(w)
	return func() {
		klog.Flush()
		w.Close()
	}
}
