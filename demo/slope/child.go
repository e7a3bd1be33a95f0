package slope

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"strconv"
	"strings"

	"github.com/rotisserie/eris"

	"citronledge.example/core/group"
	"citronledge.example/core/ident"
	"citronledge.example/core/link"
	"citronledge.example/side/engine"
	"citronledge.example/side/serve"
	"citronledge.example/state/node"
	"citronledge.example/state/peer"
	"citronledge.example/state/raft"
	"citronledge.example/state/store"
)

// keys protects the sessions on loopback between this program and its children.
var keys = link.NewKeys("slope", link.RoleProcess, []byte("0123456789abcdef"))

// child is a process that runs the remote ends of the links.
type child struct {
	cmd   *exec.Cmd
	in    io.WriteCloser
	out   *bufio.Scanner
	addrs []string
}

// spawn starts this program again as a child with a role.
func spawn(p Plan, args ...string) (*child, error) {
	cmd := exec.Command(p.Executable, append([]string{"child"}, args...)...)
	cmd.Stderr = os.Stderr
	in, err := cmd.StdinPipe()
	if err != nil {
		return nil, err
	}
	out, err := cmd.StdoutPipe()
	if err != nil {
		return nil, err
	}
	if err := cmd.Start(); err != nil {
		return nil, eris.Wrap(err, "cannot start the child process")
	}
	c := &child{cmd: cmd, in: in, out: bufio.NewScanner(out)}
	if !c.out.Scan() {
		c.stop()
		return nil, eris.New("the child process has not started")
	}
	c.addrs = strings.Fields(c.out.Text())
	return c, nil
}

// usage asks the child for its usage; what is "cpu" or "heap".
func (c *child) usage(what string) (Usage, error) {
	var u Usage
	if _, err := fmt.Fprintln(c.in, what); err != nil {
		return u, err
	}
	if !c.out.Scan() {
		return u, eris.New("the child process has ended")
	}
	return u, json.Unmarshal(c.out.Bytes(), &u)
}

// stop closes the input of the child, which then ends, and waits for its end.
func (c *child) stop() {
	_ = c.in.Close()
	_ = c.cmd.Wait()
}

// RunChild runs the remote ends of the links until its input ends.
func RunChild(args []string, in io.Reader, out io.Writer) error {
	if len(args) < 2 {
		return eris.New("a child needs its role and an argument")
	}
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	m := &meter{}
	g := group.New(ctx)
	var err error
	addDetails := func(*Usage) {}
	switch args[0] {
	case "sides":
		err = runSides(g, m, args[1], out)
	case "state":
		addDetails, err = runState(g, m, args[1], args[2:], out)
	default:
		err = eris.Errorf("unknown role %s", args[0])
	}
	if err != nil {
		return err
	}
	lines := bufio.NewScanner(in)
	for lines.Scan() {
		u := m.usage(lines.Text() == "heap")
		addDetails(&u)
		if err := json.NewEncoder(out).Encode(u); err != nil {
			return err
		}
	}
	cancel()
	g.Stop()
	return nil // the process ends now
}

// runSides runs a number of side processes, each with an engine that always reports
// the same load.
func runSides(g *group.Group, m *meter, count string, out io.Writer) error {
	n, err := strconv.Atoi(count)
	if err != nil {
		return err
	}
	var addrs []string
	for i := range n {
		ln, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			return err
		}
		addrs = append(addrs, ln.Addr().String())
		s := serve.New(serve.Settings{
			Name: ident.Backend(fmt.Sprintf("runner-%04d", i)), Zone: "zone-a", Keys: keys,
			Engine: engine.New("http://engine", cannedEngine{}),
		})
		g.Go("side", func(ctx context.Context) error { return s.Run(ctx, meteredListener{ln, m}, func() {}) })
	}
	_, err = fmt.Fprintln(out, strings.Join(addrs, " "))
	return err
}

// cannedEngine answers the requests to an engine, without a socket.
type cannedEngine struct{}

const cannedLoad = `{"running":3,"queued":0,"slots":32,"models":[{"model":"model-00","version":"v1"},{"model":"model-01","version":"v2"}],"age":20}`

func (cannedEngine) RoundTrip(r *http.Request) (*http.Response, error) {
	return &http.Response{
		StatusCode: http.StatusOK, Proto: "HTTP/1.1", ProtoMajor: 1, ProtoMinor: 1, Header: http.Header{},
		Body: io.NopCloser(strings.NewReader(cannedLoad)), ContentLength: int64(len(cannedLoad)), Request: r,
	}, nil
}

// runState runs one state process, composed as in its program. The arguments are
// its data folder and the members, NAME=ADDR. The function that it returns adds the
// details of the process to its usage.
func runState(g *group.Group, m *meter, name string, args []string, out io.Writer) (func(*Usage), error) {
	var peers []raft.Member
	addr := ""
	for _, arg := range args[1:] {
		n, a, _ := strings.Cut(arg, "=")
		peers = append(peers, raft.Member{Name: n, Addr: a})
		if n == name {
			addr = a
		}
	}
	dir, err := store.OpenFolder(args[0])
	if err != nil {
		return nil, err
	}
	st, err := store.Open(dir, name)
	if err != nil {
		return nil, err
	}
	ln, err := net.Listen("tcp", addr)
	if err != nil {
		return nil, err
	}
	cfg := link.Config{Name: name, Keys: keys}
	transport, machine := peer.New(cfg), node.NewMachine()
	consensus, err := raft.New(
		raft.WithName(name), raft.WithAddress(addr), raft.WithStore(st), raft.WithTransport(transport),
		raft.WithStateMachine(machine), raft.WithInitialMembers(peers...),
		raft.WithSnapshotPolicy(1<<40, 1<<50, 0), // the log's bytes are measured without compaction
	)
	if err != nil {
		return nil, err
	}
	n, err := node.New(
		node.WithConsensus(consensus), node.WithMachine(machine), node.WithLink(cfg),
		node.WithRaftHandler(func(_ context.Context, s *link.Stream) { _ = transport.Serve(s) }),
	)
	if err != nil {
		return nil, err
	}
	g.Go("consensus", consensus.Run)
	g.Go("node", func(ctx context.Context) error { return n.Run(ctx, meteredListener{ln, m}) })
	_, err = fmt.Fprintln(out, addr)
	return func(u *Usage) {
		u.Leader, u.Disk, u.AppliedIndex = consensus.HoldsLease(), folderSize(args[0]), consensus.Status().AppliedIndex
	}, err
}
