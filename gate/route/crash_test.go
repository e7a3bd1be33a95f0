package route

import (
	"fmt"
	"testing"
	"time"

	"citronledge.example/core/fault"
	"citronledge.example/gate/pool"
)

// A request that ends the backend servers that run it must not be sent to one after
// the other when its caller repeats it, and must not take others with it.
func TestRequestEndsBackendServers(t *testing.T) {
	const (
		repeats = 12
		maxRuns = 4 // three crashes, the last of them with the attempt beside it
	)
	for name, chunks := range map[string]int{"before the answer": 0, "within the answer": 5} {
		t.Run(name, func(t *testing.T) { playDeadlyRequest(t, repeats, maxRuns, chunks) })
	}
}

// playDeadlyRequest sends a request again and again that ends its backend server after
// a number of chunks of the answer.
func playDeadlyRequest(t *testing.T, repeats, maxRuns, chunks int) {
	withRouter(t, func(t *testing.T, fake *fakeServices, r *Router) {
		runs := 0
		fake.brokeAfter = chunks
		fake.broke = func(a pool.Attempt) bool {
			deadly := string(a.Work.GetBody()) == "deadly"
			if deadly {
				runs++
				<-time.After(250 * time.Millisecond)
			}
			return deadly
		}
		refused := 0
		for i := range repeats {
			q := newChat(fmt.Sprint("deadly", i), "small")
			q.Body = []byte("deadly")
			if err := r.Serve(t.Context(), q, fake); fault.From(err).Kind == fault.Busy {
				refused++
			}
			q = newChat(fmt.Sprint("sound", i), "small")
			q.Body = []byte("sound")
			if err := r.Serve(t.Context(), q, fake); err != nil {
				t.Errorf("sound request %d: got %v, want an answer", i, err)
			}
		}
		if runs > maxRuns {
			t.Errorf("the deadly request reached backend servers %d times, want at most %d", runs, maxRuns)
		}
		if refused == 0 {
			t.Error("the deadly request was never refused")
		}
	})
}
