package logs

import (
	"fmt"
	"io"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"
)

// stalledWriter blocks each write until resume is closed.
type stalledWriter struct {
	mu     sync.Mutex
	text   strings.Builder
	resume chan struct{}
}

func (s *stalledWriter) Write(b []byte) (int, error) {
	<-s.resume
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.text.Write(b)
}

// A stalled reader must not block the program, and the number of dropped lines
// must be written when it resumes.
func TestStalledReader(t *testing.T) {
	out := &stalledWriter{resume: make(chan struct{})}
	w := New(out)
	line := []byte(strings.Repeat("x", 1023) + "\n")
	start := time.Now()
	for range 2000 { // 2 MB
		if n, err := w.Write(line); n != len(line) || err != nil {
			t.Fatalf("got %d, %v", n, err)
		}
	}
	if took := time.Since(start); took > time.Second {
		t.Errorf("2,000 lines took %v with a stalled reader", took)
	}
	close(out.resume)
	for end := time.Now().Add(5 * time.Second); ; time.Sleep(time.Millisecond) {
		_, _ = w.Write([]byte("last line\n"))
		out.mu.Lock()
		text := out.text.String()
		out.mu.Unlock()
		if strings.Contains(text, "last line") {
			if !strings.Contains(text, "log lines were dropped") {
				t.Error("the count of dropped lines is missing")
			}
			if len(text) > 3*maxPendingBytes {
				t.Errorf("got %d bytes, want at most the buffered ones", len(text))
			}
			break
		}
		if time.Now().After(end) {
			t.Fatal("the writer did not resume")
		}
	}
	w.Close()
}

// Close must not wait long for a stalled reader at the end of the program.
func TestClose(t *testing.T) {
	out := &stalledWriter{resume: make(chan struct{})}
	w := New(out)
	_, _ = w.Write([]byte("line\n"))
	start := time.Now()
	w.Close()
	if took := time.Since(start); took > 5*closeTimeout {
		t.Errorf("took %v", took)
	}
	close(out.resume)
}

// slowWriter writes half of each line, waits, and writes the rest.
type slowWriter struct{ text strings.Builder }

func (o *slowWriter) Write(p []byte) (int, error) {
	o.text.Write(p[:len(p)/2])
	time.Sleep(20 * time.Millisecond)
	o.text.Write(p[len(p)/2:])
	return len(p), nil
}

// Lines that arrive while earlier ones are written, after a period without any,
// must not overwrite the earlier ones.
func TestLinesAfterPause(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		out := &slowWriter{}
		w := New(out)
		var want strings.Builder
		for burst := range 4 {
			for i := range 20 {
				line := fmt.Sprintf("line of burst %d with the number %d\n", burst, i)
				want.WriteString(line)
				_, _ = io.WriteString(w, line)
				time.Sleep(time.Millisecond)
			}
			time.Sleep(300 * time.Millisecond) // the writer runs out of lines
		}
		w.Close()
		if got := out.text.String(); got != want.String() {
			t.Errorf("got %q, want %q", got, want.String())
		}
	})
}
