package group

import (
	"context"
	"errors"
	"strings"
	"testing"
	"testing/synctest"
)

// Guards against tasks that outlive the failure of one of them.
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
