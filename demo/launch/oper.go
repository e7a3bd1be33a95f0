package launch

import (
	"context"
	"fmt"
	"os/exec"
	"path/filepath"
	"strings"

	"github.com/rotisserie/eris"

	"citronledge.example/core/wire"
)

const maxBills = 1000 // of one query

// RunCtl runs ctl as an operator and returns its output.
func (s *System) RunCtl(ctx context.Context, args ...string) (string, error) {
	args = append(args[:1:1], append([]string{
		"--state", strings.Join(addresses(s.States), ","), "--keys", s.operatorKeyFile,
	}, args[1:]...)...)
	out, err := exec.CommandContext(ctx, filepath.Join(s.bin, "ctl"), args...).CombinedOutput()
	if err != nil {
		return "", fmt.Errorf("ctl %s: %w: %s", args[0], err, out)
	}
	return string(out), nil
}

// Apply applies the settings folders, waits until the change is in force and
// returns the revision.
func (s *System) Apply(ctx context.Context) (uint64, error) {
	dir, err := s.mergeSettings()
	if err != nil {
		return 0, err
	}
	if _, err := s.RunCtl(ctx, "apply", "--wait", "--note", "example settings", dir); err != nil {
		return 0, err
	}
	status, err := s.status(ctx)
	return status.GetRevision(), err
}

func (s *System) status(ctx context.Context) (*wire.Status, error) {
	a, err := s.Client.Query(ctx, &wire.Query{Kind: &wire.Query_Status{Status: &wire.StatusQuery{}}})
	return a.GetStatus(), err
}

// Bills returns the bills of a customer; an empty customer means all customers.
func (s *System) Bills(ctx context.Context, customer string) ([]*wire.Bill, error) {
	a, err := s.Client.Query(ctx, &wire.Query{Kind: &wire.Query_Bills{Bills: &wire.BillsQuery{Customer: customer, Limit: maxBills}}})
	return a.GetBills(), err
}

// Leader returns the leader of the state cluster.
func (s *System) Leader(ctx context.Context) (*Proc, error) {
	status, err := s.status(ctx)
	if err != nil {
		return nil, err
	}
	for _, p := range s.States {
		if p.Name == status.GetLeader() || p.Addr == status.GetLeader() {
			return p, nil
		}
	}
	return nil, eris.Errorf("the leader %q is none of the state processes", status.GetLeader())
}
