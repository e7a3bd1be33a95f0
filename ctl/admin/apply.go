package admin

import (
	"context"
	"fmt"
	"time"

	"citronledge.example/core/conf"
	"citronledge.example/core/fault"
	"citronledge.example/core/ident"
	"citronledge.example/core/ledger"
	"citronledge.example/core/wire"
)

// Check reads a settings folder and prints each value with its file and line,
// or returns all problems.
func (a *Admin) Check(dir string) error {
	folder, err := conf.ReadFolder(dir)
	if err != nil {
		return usageError(err.Error())
	}
	entries, err := folder.Entries()
	if err != nil {
		return err
	}
	if a.JSON {
		return a.printJSON(leafLines(folder))
	}
	for _, leaf := range folder.Leaves() {
		fmt.Fprintf(a.Out, "%-45s %-30s %s\n", leaf.Path, fmt.Sprint(leaf.Value), leaf.Position)
	}
	fmt.Fprintf(a.Out, "ok: %d items\n", len(entries))
	return nil
}

type leafLine struct {
	Path  string `json:"path"`
	Value any    `json:"value"`
	File  string `json:"file"`
	Line  int    `json:"line"`
}

func leafLines(folder *conf.Folder) []leafLine {
	var list []leafLine
	for _, leaf := range folder.Leaves() {
		list = append(list, leafLine{leaf.Path, leaf.Value, leaf.Position.File, leaf.Position.Line})
	}
	return list
}

// Diff prints what Apply would change.
func (a *Admin) Diff(ctx context.Context, dir string) error {
	view, _, diff, err := a.compareFolder(ctx, dir)
	if err != nil {
		return err
	}
	if a.JSON {
		return a.printJSON(diffLines(view, diff))
	}
	for _, line := range diffLines(view, diff) {
		if line.Old != "" {
			fmt.Fprintf(a.Out, "- %s %s\n", line.Key, line.Old)
		}
		if line.New != "" {
			fmt.Fprintf(a.Out, "+ %s %s\n", line.Key, line.New)
		}
	}
	fmt.Fprintf(a.Out, "%d items differ\n", len(diff))
	return nil
}

type diffLine struct {
	Key string `json:"key"`
	Old string `json:"old,omitempty"`
	New string `json:"new,omitempty"`
}

func diffLines(view *conf.View, diff []*wire.Entry) []diffLine {
	list := []diffLine{}
	for _, e := range diff {
		old, _ := view.Value(e.GetKey())
		list = append(list, diffLine{Key: e.GetKey(), Old: string(old), New: string(e.GetValue())})
	}
	return list
}

// compareFolder returns the cluster's configuration, its change number, and the
// entries that make it equal to the folder.
func (a *Admin) compareFolder(ctx context.Context, dir string) (*conf.View, uint64, []*wire.Entry, error) {
	folder, err := conf.ReadFolder(dir)
	if err != nil {
		return nil, 0, nil, usageError(err.Error())
	}
	entries, err := folder.Entries()
	if err != nil {
		return nil, 0, nil, err
	}
	view, number, err := a.currentConfig(ctx)
	if err != nil {
		return nil, 0, nil, err
	}
	return view, number, conf.Diff(view, entries), nil
}

// InForceTimeout limits how long a command waits until its change is in force
// everywhere; with zero it does not wait.
type InForceTimeout time.Duration

// Apply makes the cluster's configuration equal to the folder. If another
// operator's change takes the same number first, nothing is changed and the
// error names that operator; the command may then be run again.
func (a *Admin) Apply(ctx context.Context, dir, note string, wait InForceTimeout) error {
	_, number, diff, err := a.compareFolder(ctx, dir)
	if err != nil {
		return err
	}
	if len(diff) == 0 {
		return a.printChange(ctx, &wire.Changed{Number: number, Repeat: true}, 0)
	}
	return a.proposeEntries(ctx, number+1, diff, note, wait)
}

// proposeEntries proposes entries as one change.
func (a *Admin) proposeEntries(ctx context.Context, number uint64, entries []*wire.Entry, note string, wait InForceTimeout) error {
	c := &wire.Change{Number: number, Entries: entries, Note: note, Digest: ledger.ChangeDigest(entries)}
	result, err := a.propose(ctx, &wire.Command{Kind: &wire.Command_Change{Change: c}})
	if err != nil {
		return err
	}
	return a.printChange(ctx, result.GetChanged(), wait)
}

func (a *Admin) printChange(ctx context.Context, changed *wire.Changed, wait InForceTimeout) error {
	var waited *wire.Waited
	if wait > 0 {
		var err error
		if waited, err = a.waitInForce(ctx, ident.Revision(changed.GetRevision()), wait); err != nil {
			return err
		}
	}
	if a.JSON {
		return a.printJSON(map[string]any{
			"number": changed.GetNumber(), "revision": changed.GetRevision(), "repeat": changed.GetRepeat(),
			"waited": waited != nil, "expired": waited.GetExpired(), "elapsed": waited.GetElapsed(),
		})
	}
	switch {
	case changed.GetRevision() == 0:
		fmt.Fprintf(a.Out, "no change: the configuration equals the folder (number %d)\n", changed.GetNumber())
	case changed.GetRepeat():
		fmt.Fprintf(a.Out, "already accepted as change %d, revision %d\n", changed.GetNumber(), changed.GetRevision())
	default:
		fmt.Fprintf(a.Out, "accepted as change %d, revision %d\n", changed.GetNumber(), changed.GetRevision())
	}
	a.printWaited(waited)
	return nil
}

// printWaited prints the outcome of a wait, and nothing without one.
func (a *Admin) printWaited(waited *wire.Waited) {
	if waited == nil {
		return
	}
	fmt.Fprintf(a.Out, "in force everywhere after %d ms\n", waited.GetElapsed())
	for _, name := range waited.GetExpired() {
		fmt.Fprintf(a.Out, "lease of %s had to expire: it did not acknowledge\n", name)
	}
}

func (a *Admin) waitInForce(ctx context.Context, r ident.Revision, wait InForceTimeout) (*wire.Waited, error) {
	q := &wire.WaitQuery{Revision: uint64(r), Timeout: uint32(time.Duration(wait) / time.Millisecond)}
	answer, err := a.query(ctx, &wire.Query{Kind: &wire.Query_Wait{Wait: q}})
	if err != nil {
		return nil, err
	}
	waited := answer.GetWaited()
	if !waited.GetDone() {
		return waited, fault.New(fault.Timeout, fmt.Sprintf("revision %d is accepted but not yet in force at %v; see ctl status", r, waited.GetMissing()))
	}
	return waited, nil
}
