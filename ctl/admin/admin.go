// Package admin holds the commands of the operators' command line.
//
// Each command is a function of its arguments and a connection to the state
// cluster; it writes to the output that the caller gives and returns an error
// whose exit code Code tells.
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
	Done     = 0
	Failed   = 1
	Usage    = 2 // wrong arguments or invalid settings
	Conflict = 3 // refused because of another change
	Unknown  = 4 // the outcome is not known; the same command may be given again
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

// Code returns the exit code for an error of a command.
func Code(err error) int {
	if err == nil {
		return Done
	}
	var problem conf.Problem
	if errors.As(err, &problem) {
		return Usage
	}
	var f *fault.Fault
	if !errors.As(err, &f) {
		return Failed
	}
	switch f.Kind {
	case fault.Invalid:
		return Usage
	case fault.Conflict, fault.Stale:
		return Conflict
	case fault.Unknown, fault.Timeout:
		return Unknown
	}
	return Failed
}

// usage returns an error for wrong arguments.
func usage(message string) error { return fault.New(fault.Invalid, message) }

// propose sends a command under the operator's name.
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

// current returns the configuration in the cluster and its change number.
func (a *Admin) current(ctx context.Context) (*conf.View, uint64, error) {
	answer, err := a.query(ctx, &wire.Query{Kind: &wire.Query_Config{Config: &wire.ConfigQuery{}}})
	if err != nil {
		return nil, 0, err
	}
	view, err := conf.EmptyView().Apply(answer.GetConfig())
	return view, answer.GetNumber(), err
}

// print writes a value as indented JSON.
func (a *Admin) print(v any) error {
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
