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

	"citronledge.example/core/reply"
	"citronledge.example/demo/launch"
)

const (
	clientCount = 16
	chatCount   = 1500 // for each size
	bearerKey   = "demo-bengal-crop-insurance"
)

// MeasureTokens measures the request path through the real programs, by the number
// of streamed tokens. The processor time comes from /proc, in steps of 10 ms.
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
	if _, _, err := streamChats(ctx, sys.Gates[0].Addr, chatCount/4, 1); err != nil { // warm up
		return err
	}
	for _, n := range []int{1, 32, 128, 283} {
		if err := measureTokens(ctx, t, sys, n); err != nil {
			return err
		}
	}
	t.printFits()
	return sys.Stop(ctx)
}

func measureTokens(ctx context.Context, t *table, sys *launch.System, n int) error {
	roles := map[string][]*launch.Proc{"gate": sys.Gates, "side": sys.Sides, "state": sys.States}
	before, err := roleUsages(roles)
	if err != nil {
		return err
	}
	done, events, err := streamChats(ctx, sys.Gates[0].Addr, chatCount, n)
	if err != nil {
		return err
	}
	after, err := roleUsages(roles)
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

type roleUsage struct{ cpu, resident float64 }

// roleUsages returns the processor time of each role, in microseconds, and the mean
// resident memory of its processes, in MB.
func roleUsages(roles map[string][]*launch.Proc) (map[string]roleUsage, error) {
	out := map[string]roleUsage{}
	for role, list := range roles {
		var sum roleUsage
		for _, p := range list {
			cpu, resident, err := processUsage(p.PID())
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

// streamChats sends chats in closed loops and returns the numbers of complete
// answers and of their events.
func streamChats(ctx context.Context, addr string, count, tokens int) (done, events int64, err error) {
	body := fmt.Sprintf(`{"model":"swift","stream":true,"max_tokens":%d,"messages":[{"role":"user","content":"hello"}]}`, tokens)
	transport := reply.NewTransport(&http.Transport{MaxIdleConnsPerHost: clientCount})
	defer transport.CloseIdleConnections()
	client := &http.Client{Transport: transport}
	var remaining, completed, seen atomic.Int64
	remaining.Store(int64(count))
	var failure atomic.Value
	var wg sync.WaitGroup
	for range clientCount {
		wg.Go(func() {
			for remaining.Add(-1) >= 0 && ctx.Err() == nil {
				n, err := streamChat(ctx, client, addr, body)
				if err != nil {
					failure.Store(err.Error())
					continue
				}
				completed.Add(1)
				seen.Add(n)
			}
		})
	}
	wg.Wait()
	if completed.Load() < int64(count)*9/10 {
		return 0, 0, eris.Errorf("%d of %d chats were answered; one failure: %v", completed.Load(), count, failure.Load())
	}
	return completed.Load(), seen.Load(), nil
}

func streamChat(ctx context.Context, client *http.Client, addr, body string) (int64, error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+addr+"/v1/chat/completions", bytes.NewReader([]byte(body)))
	if err != nil {
		return 0, err
	}
	req.Header.Set("Content-Type", "application/json")
	req.Header.Set("Authorization", "Bearer "+bearerKey)
	resp, err := client.Do(req)
	if err != nil {
		return 0, err
	}
	defer func() { _ = resp.Body.Close() }()
	if resp.StatusCode != http.StatusOK {
		return 0, eris.Errorf("status %d", resp.StatusCode)
	}
	var n int64
	ended := false
	for lines := bufio.NewScanner(resp.Body); lines.Scan(); {
		if strings.HasPrefix(lines.Text(), "data: ") {
			n++
			ended = lines.Text() == "data: [DONE]"
		}
	}
	if !ended {
		return 0, eris.New("a stream ended early")
	}
	return n, nil
}
