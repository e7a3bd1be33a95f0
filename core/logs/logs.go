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
	// maxPendingBytes bounds the buffered bytes that are not yet written.
	maxPendingBytes = 256 << 10
	// flushInterval is the pause after each write, which batches the lines of
	// that time into the next write.
	flushInterval = 100 * time.Millisecond
)

// Writer buffers lines and writes them in the background. It drops and counts
// lines that do not fit into the buffer, and writes the count once there is
// room again.
type Writer struct {
	out io.Writer

	mu           sync.Mutex
	pending      []byte
	droppedLines int // not reported in the output yet
	writing      bool
	stopped      bool
	wake         chan struct{}
	done         chan struct{}
}

// New returns a writer to out. The caller must call Close.
func New(out io.Writer) *Writer {
	w := &Writer{out: out, wake: make(chan struct{}, 1), done: make(chan struct{})}
	go w.run()
	return w
}

// Write implements io.Writer. It never fails.
func (w *Writer) Write(line []byte) (int, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if len(w.pending)+len(line) > maxPendingBytes {
		w.droppedLines++
		return len(line), nil
	}
	if w.droppedLines > 0 {
		w.pending = fmt.Appendf(w.pending, "%d log lines were dropped because the output is slow\n", w.droppedLines)
		w.droppedLines = 0
	}
	w.pending = append(w.pending, line...)
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
			if len(w.pending) == 0 {
				w.writing = false
				stopped := w.stopped
				w.mu.Unlock()
				if stopped {
					return
				}
				break
			}
			// The buffers are swapped, since more lines may arrive while data
			// is written.
			data := w.pending
			w.pending = spare[:0]
			w.mu.Unlock()
			// There is no place to report a write error of the log itself.
			_, _ = w.out.Write(data)
			spare = data
			time.Sleep(flushInterval)
		}
	}
}

// closeTimeout bounds how long Close waits for a stalled reader at the end of
// the program.
const closeTimeout = 300 * time.Millisecond

// Close writes the pending lines, waiting for at most closeTimeout.
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
	case <-time.After(closeTimeout):
	}
}

// Start redirects the output of klog to out and returns the function that stops
// the redirection.
func Start(out io.Writer) (stop func()) {
	w := New(out)
	klog.LogToStderr(false)
	klog.SetOutput(w)
	return func() {
		klog.Flush()
		w.Close()
	}
}
