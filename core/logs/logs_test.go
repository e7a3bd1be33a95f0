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

// stalled is a reader of the log that stops until it is let go.
type stalled struct {
	mu   sync.Mutex
	text strings.Builder
	hold chan struct{}
}

func (s *stalled) Write(b []byte) (int, error) {
	<-s.hold
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.text.Write(b)
}

// A reader that stops must not hold up the program, and what was left out is
// told when it goes on.
func TestStalledReader(t *testing.T) {
	out := &stalled{hold: make(chan struct{})}
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
	close(out.hold)
	for end := time.Now().Add(5 * time.Second); ; time.Sleep(time.Millisecond) {
		_, _ = w.Write([]byte("last line\n"))
		out.mu.Lock()
		text := out.text.String()
		out.mu.Unlock()
		if strings.Contains(text, "last line") {
			if !strings.Contains(text, "log lines were left out") {
				t.Error("the lines that were left out are not counted")
			}
			if len(text) > 3*mostWaiting {
				t.Errorf("got %d bytes, want at most those that may wait", len(text))
			}
			break
		}
		if time.Now().After(end) {
			t.Fatal("the log did not go on")
		}
	}
	w.Close()
}

// The end of the program does not wait for a reader that has stopped.
func TestClose(t *testing.T) {
	out := &stalled{hold: make(chan struct{})}
	w := New(out)
	_, _ = w.Write([]byte("line\n"))
	start := time.Now()
	w.Close()
	if took := time.Since(start); took > 5*closeTime {
		t.Errorf("took %v", took)
	}
	close(out.hold)
}

// slowOut takes a part of each write, waits, and takes the rest.
type slowOut struct{ text strings.Builder }

func (o *slowOut) Write(p []byte) (int, error) {
	o.text.Write(p[:len(p)/2])
	time.Sleep(20 * time.Millisecond)
	o.text.Write(p[len(p)/2:])
	return len(p), nil
}

// Lines that arrive while earlier ones are written, after a time without any,
// must not overwrite them.
func TestLinesAfterPause(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		out := &slowOut{}
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
