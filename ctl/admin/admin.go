// Package admin implements the commands of ctl, the operators' command line.
//
// Each command takes its arguments and a connection to the state cluster. It
// writes to the caller's writer and returns an error, which ExitCode maps to an
// exit code.
package admin

import (
	"context"
	"encoding/json"
	"errors"
	"io"
	"time"

	"google.golang.org/protobuf/encoding/protojson"
	"google.golang.org/protobuf/proto"

	"citronledge.example/core/conf"
	"citronledge.example/core/fault"
	"citronledge.example/core/wire"
)

// Exit codes of the command line.
const (
	ExitDone     = 0
	ExitFailed   = 1
	ExitUsage    = 2 // wrong arguments or invalid settings
	ExitConflict = 3 // refused because of another change
	ExitUnknown  = 4 // the outcome is not known; the same command may be run again
)

// Cluster is the connection to the state cluster. client.Client implements it.
type Cluster interface {
	Propose(ctx context.Context, c *wire.Command) (*wire.Result, error)
	Query(ctx context.Context, q *wire.Query) (*wire.Answer, error)
}

// Admin runs commands for one operator.
type Admin struct {
	Cluster Cluster
	// Actor is the operator's name in the audit trail.
	Actor string
	Out   io.Writer
	// JSON selects output for scripts.
	JSON bool
}

// ExitCode returns the exit code for an error of a command.
func ExitCode(err error) int {
	if err == nil {
		return ExitDone
	}
	var problem conf.Problem
	if errors.As(err, &problem) {
		return ExitUsage
	}
	var f *fault.Fault
	if !errors.As(err, &f) {
		return ExitFailed
	}
	switch f.Kind {
	case fault.Invalid:
		return ExitUsage
	case fault.Conflict, fault.Stale:
		return ExitConflict
	case fault.Unknown, fault.Timeout:
		return ExitUnknown
	}
	return ExitFailed
}

// usageError returns an error for wrong arguments.
func usageError(message string) error { return fault.New(fault.Invalid, message) }

// propose sends a command with the operator's name and the current time.
func (a *Admin) propose(ctx context.Context, c *wire.Command) (*wire.Result, error) {
	c.Actor = a.Actor
	c.Time = uint64(time.Now().UnixMilli())
	result, err := a.Cluster.Propose(ctx, c)
	if err != nil {
		return nil, err
	}
	return result, result.GetFault().Err()
}

func (a *Admin) query(ctx context.Context, q *wire.Query) (*wire.Answer, error) {
	answer, err := a.Cluster.Query(ctx, q)
	if err != nil {
		return nil, err
	}
	return answer, answer.GetFault().Err()
}

// currentConfig returns the cluster's configuration and its change number.
func (a *Admin) currentConfig(ctx context.Context) (*conf.View, uint64, error) {
	answer, err := a.query(ctx, &wire.Query{Kind: &wire.Query_Config{Config: &wire.ConfigQuery{}}})
	if err != nil {
		return nil, 0, err
	}
	view, err := conf.EmptyView().Apply(answer.GetConfig())
	return view, answer.GetNumber(), err
}

// printJSON writes a value as indented JSON.
func (a *Admin) printJSON(v any) error {
	e := json.NewEncoder(a.Out)
	e.SetIndent("", "  ")
	return e.Encode(v)
}

// printProto writes a message as one line of JSON.
func (a *Admin) printProto(m proto.Message) error {
	data, err := protojson.MarshalOptions{EmitUnpopulated: true}.Marshal(m)
	if err != nil {
		return err
	}
	_, err = a.Out.Write(append(data, '\n'))
	return err
}
