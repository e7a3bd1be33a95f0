package group

import (
	"context"
	"errors"
	"strings"
	"testing"
	"testing/synctest"
)

// Guards against tasks that keep running after another one has failed.
func TestGroupStopsTogether(t *testing.T) {
	tests := map[string]struct {
		fail error
		want string
	}{
		"failure stops all":  {errors.New("broken"), "second: broken"},
		"stop is no failure": {nil, ""},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				g := New(t.Context())
				g.Go("first", func(ctx context.Context) error {
					<-ctx.Done()
					return ctx.Err()
				})
				g.Go("second", func(context.Context) error { return tt.fail })
				if tt.fail == nil {
					synctest.Wait()
					if g.Context().Err() != nil {
						t.Error("a task that ended without error stopped the group")
					}
					g.Stop()
				}
				got := ""
				if err := g.Wait(); err != nil {
					got = err.Error()
				}
				if !strings.HasPrefix(got, tt.want) || (tt.want == "" && got != "") {
					t.Errorf("got %q, want %q", got, tt.want)
				}
			})
		})
	}
}

// Guards against a panic in a server that accepts connections: its accept task
// starts tasks while another goroutine waits for the group.
func TestGoWhileWaiting(t *testing.T) {
	g := New(context.Background())
	waiting := make(chan struct{})
	ran := 0
	g.Go("accept", func(context.Context) error {
		<-waiting
		for range 100 {
			done := make(chan struct{})
			g.Go("session", func(context.Context) error {
				ran++
				close(done)
				return nil
			})
			<-done
		}
		return nil
	})
	result := make(chan error)
	go func() {
		close(waiting)
		result <- g.Wait()
	}()
	if err := <-result; err != nil || ran != 100 {
		t.Errorf("got %v after %d tasks, want nil after 100", err, ran)
	}
}

// Guards against a task that panics and leaves the others running.
func TestPanicStops(t *testing.T) {
	g := New(context.Background())
	g.Go("broken", func(context.Context) error { panic("defect") })
	g.Go("other", func(ctx context.Context) error {
		<-ctx.Done()
		return nil
	})
	defer func() {
		if recover() == nil {
			t.Error("Wait hid the panic")
		}
	}()
	_ = g.Wait()
}
