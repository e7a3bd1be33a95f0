package slope

import (
	"bufio"
	"bytes"
	"context"
	"fmt"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"sync/atomic"

	"github.com/rotisserie/eris"

	"citronledge.example/demo/launch"
)

const (
	callers = 16
	chats   = 1500 // for each size
	key     = "demo-bengal-crop-insurance"
)

// MeasureTokens measures the request path through real programs by the number of
// streamed tokens. The processor time comes from /proc, in steps of 10 ms.
func MeasureTokens(ctx context.Context, p Plan) error {
	t := newTable(p, "tokens")
	dir, err := os.MkdirTemp("", "citronledge-slope-")
	if err != nil {
		return err
	}
	defer func() { _ = os.RemoveAll(dir) }()
	sys, err := launch.New(
		launch.WithBinDir(p.BinDir), launch.WithDataDir(dir), launch.WithSettings(filepath.Join(p.ExamplesDir, "jhalmuri")),
		launch.WithModels("swift/v1,swift/v2,sage/v1"), launch.WithProcessCounts(1, 1, 2),
		launch.WithTokenTime(0), launch.WithEngineArgs("--first", "0s", "--slots", "64"),
	)
	if err != nil {
		return err
	}
	defer sys.Kill()
	if err := sys.Start(ctx); err != nil {
		return err
	}
	if _, _, err := stream(ctx, sys.Gates[0].Addr, chats/4, 1); err != nil { // warm up
		return err
	}
	for _, n := range []int{1, 32, 128, 283} {
		if err := tokens(ctx, t, sys, n); err != nil {
			return err
		}
	}
	t.fits()
	return sys.Stop(ctx)
}

func tokens(ctx context.Context, t *table, sys *launch.System, n int) error {
	roles := map[string][]*launch.Proc{"gate": sys.Gates, "side": sys.Sides, "state": sys.States}
	before, err := spent(roles)
	if err != nil {
		return err
	}
	done, events, err := stream(ctx, sys.Gates[0].Addr, chats, n)
	if err != nil {
		return err
	}
	after, err := spent(roles)
	if err != nil {
		return err
	}
	t.add("events", "1/request", n, float64(events)/float64(done))
	for _, role := range []string{"gate", "side", "state"} {
		t.add(role+"-cpu", "us/request", n, (after[role].cpu-before[role].cpu)/float64(done))
		t.add(role+"-resident", "MB", n, after[role].resident)
	}
	return nil
}

type process struct{ cpu, resident float64 }

// spent returns the use of each role; memory is that of one process.
func spent(roles map[string][]*launch.Proc) (map[string]process, error) {
	out := map[string]process{}
	for role, list := range roles {
		var sum process
		for _, p := range list {
			cpu, resident, err := processTime(p.PID())
			if err != nil {
				return nil, err
			}
			sum.cpu += float64(cpu.Microseconds())
			sum.resident += float64(resident) / 1e6 / float64(len(list))
		}
		out[role] = sum
	}
	return out, nil
}

// stream sends chats in closed loops and returns the numbers of complete
// answers and of their events.
func stream(ctx context.Context, addr string, number, size int) (done, events int64, err error) {
	body := fmt.Sprintf(`{"model":"swift","stream":true,"max_tokens":%d,"messages":[{"role":"user","content":"hello"}]}`, size)
	transport := &http.Transport{MaxIdleConnsPerHost: callers}
	defer transport.CloseIdleConnections()
	client := &http.Client{Transport: transport}
	var left, finished, seen atomic.Int64
	left.Store(int64(number))
	var failure atomic.Value
	var wg sync.WaitGroup
	for range callers {
		wg.Go(func() {
			for left.Add(-1) >= 0 && ctx.Err() == nil {
				n, err := chat(ctx, client, addr, body)
				if err != nil {
					failure.Store(err.Error())
					continue
				}
				finished.Add(1)
				seen.Add(n)
			}
		})
	}
	wg.Wait()
	if finished.Load() < int64(number)*9/10 {
		return 0, 0, eris.Errorf("%d of %d chats were answered; one failure: %v", finished.Load(), number, failure.Load())
	}
	return finished.Load(), seen.Load(), nil
}

func chat(ctx context.Context, client *http.Client, addr, body string) (int64, error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+addr+"/v1/chat/completions", bytes.NewReader([]byte(body)))
	if err != nil {
		return 0, err
	}
	req.Header.Set("Content-Type", "application/json")
	req.Header.Set("Authorization", "Bearer "+key)
	resp, err := client.Do(req)
	if err != nil {
		return 0, err
	}
	defer func() { _ = resp.Body.Close() }()
	if resp.StatusCode != http.StatusOK {
		return 0, eris.Errorf("status %d", resp.StatusCode)
	}
	var n int64
	end := false
	for lines := bufio.NewScanner(resp.Body); lines.Scan(); {
		if strings.HasPrefix(lines.Text(), "data: ") {
			n++
			end = lines.Text() == "data: [DONE]"
		}
	}
	if !end {
		return 0, eris.New("a stream ended early")
	}
	return n, nil
}
