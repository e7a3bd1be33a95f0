package launch

import (
	"context"
	"errors"
	"time"

	"github.com/rotisserie/eris"

	"citronledge.example/core/conf"
	"citronledge.example/core/ledger"
	"citronledge.example/core/wire"
)

const (
	applyTime = 10 * time.Second
	rows      = 1000
)

// Apply applies the settings folders and waits until the change is in force.
// It returns the revision.
func (s *System) Apply(ctx context.Context) (uint64, error) {
	folder, err := s.folder()
	if err != nil {
		return 0, err
	}
	var problems []error
	for _, p := range folder.Check() {
		problems = append(problems, p)
	}
	if err := errors.Join(problems...); err != nil {
		return 0, err
	}
	entries, err := folder.Entries()
	if err != nil {
		return 0, err
	}
	now, err := s.Client.Query(ctx, &wire.Query{Kind: &wire.Query_Config{Config: &wire.ConfigQuery{}}})
	if err != nil {
		return 0, eris.Wrap(err, "cannot read the configuration")
	}
	view, err := conf.Empty().Apply(now.GetConfig())
	if err != nil {
		return 0, err
	}
	change := conf.Diff(view, entries)
	res, err := s.Client.Propose(ctx, &wire.Command{Actor: "operator", Time: uint64(time.Now().UnixMilli()), Kind: &wire.Command_Change{
		Change: &wire.Change{Number: now.GetNumber() + 1, Digest: ledger.Digest(change), Entries: change, Note: "example settings"},
	}})
	if err != nil {
		return 0, eris.Wrap(err, "the change was not accepted")
	}
	revision := res.GetChanged().GetRevision()
	return revision, s.InForce(ctx, revision)
}

// InForce waits until a revision is in force everywhere.
func (s *System) InForce(ctx context.Context, revision uint64) error {
	a, err := s.Client.Query(ctx, &wire.Query{Kind: &wire.Query_Wait{Wait: &wire.WaitQuery{
		Revision: revision, Timeout: uint32(applyTime / time.Millisecond),
	}}})
	if err != nil {
		return err
	}
	if !a.GetWaited().GetDone() {
		return eris.Errorf("revision %d is not in force; missing: %v", revision, a.GetWaited().GetMissing())
	}
	return nil
}

// Bills returns the bills of a customer, or all.
func (s *System) Bills(ctx context.Context, customer string) ([]*wire.Bill, error) {
	a, err := s.Client.Query(ctx, &wire.Query{Kind: &wire.Query_Bills{Bills: &wire.BillsQuery{Customer: customer, Limit: rows}}})
	return a.GetBills(), err
}

// Audits returns the audit trail.
func (s *System) Audits(ctx context.Context) ([]*wire.Audit, error) {
	a, err := s.Client.Query(ctx, &wire.Query{Kind: &wire.Query_Audit{Audit: &wire.AuditQuery{Limit: rows}}})
	return a.GetAudits(), err
}

// Leader returns the state process that leads.
func (s *System) Leader(ctx context.Context) (*Proc, error) {
	a, err := s.Client.Query(ctx, &wire.Query{Kind: &wire.Query_Status{Status: &wire.StatusQuery{}}})
	if err != nil {
		return nil, err
	}
	for _, p := range s.States {
		if p.Name == a.GetStatus().GetLeader() || p.Addr == a.GetStatus().GetLeader() {
			return p, nil
		}
	}
	return nil, eris.Errorf("the leader %q is none of the state processes", a.GetStatus().GetLeader())
}
