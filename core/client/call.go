package client

import (
	"context"
	"time"

	"google.golang.org/protobuf/proto"

	"citronledge.example/core/fault"
	"citronledge.example/core/link"
	"citronledge.example/core/wire"
)

// Propose has the state cluster commit a command and returns its result. A
// refusal by the ledger gives both the result and its fault. Commands with a
// key of their own are resent until ctx ends when the connection is lost.
// After that, a fault of kind Unknown with a nil result says that the command
// may have been committed; Unavailable says that it was not.
func (c *Client) Propose(ctx context.Context, cmd *wire.Command) (*wire.Result, error) {
	var r wire.Result
	sent, err := c.call(ctx, wire.Kind_COMMAND, cmd, &r, tryTime, resendable(cmd))
	if err != nil {
		if sent {
			return nil, fault.New(fault.Unknown, "the state cluster did not confirm the command; look at the state before repeating it")
		}
		return nil, err
	}
	return &r, r.GetFault().Err()
}

// Query asks the leader.
func (c *Client) Query(ctx context.Context, q *wire.Query) (*wire.Answer, error) {
	var a wire.Answer
	limit := tryTime + time.Duration(q.GetWait().GetTimeout())*time.Millisecond
	if _, err := c.call(ctx, wire.Kind_QUERY, q, &a, limit, true); err != nil {
		return nil, err
	}
	return &a, a.GetFault().Err()
}

// resendable tells whether the ledger recognises a repeat of the command.
func resendable(cmd *wire.Command) bool {
	switch k := cmd.GetKind().(type) {
	case *wire.Command_Enroll:
		return false
	case *wire.Command_Hand:
		return k.Hand.GetNonce() != 0 // without it a repeat is refused
	}
	return true
}

type message interface {
	proto.Message
	GetFault() *wire.Fault
}

// call exchanges two messages with the leader. It tells whether a process may
// have accepted the request without an answer.
func (c *Client) call(ctx context.Context, kind wire.Kind, q proto.Message, r message, limit time.Duration, again bool) (sent bool, err error) {
	wait := backoff{most: c.pause}
	for {
		tried, leader, err := c.try(ctx, kind, q, r, limit)
		sent = sent || tried
		switch {
		case err == nil:
			return sent, nil
		case tried && !again:
			return sent, err
		}
		if leader != "" && wait.d == 0 {
			wait.d = leastPause // follow the first hint at once
			continue
		}
		if wait.pause(ctx) != nil {
			return sent, unavailable(err)
		}
	}
}

func unavailable(err error) error {
	return fault.New(fault.Unavailable, "no leader of the state cluster answers ("+fault.From(err).Message+"); check the state processes")
}

// try makes one exchange. Its error says that there is no answer.
func (c *Client) try(ctx context.Context, kind wire.Kind, q proto.Message, r message, limit time.Duration) (sent bool, leader string, err error) {
	s, err := c.connect(ctx)
	if err != nil {
		return false, "", err
	}
	st, err := s.stream(kind)
	if err != nil {
		c.leave(s, "")
		return false, "", err
	}
	if err := exchange(ctx, st, q, r, limit); err != nil {
		_ = st.Close()
		if ctx.Err() == nil && !c.answers() {
			c.leave(s, "")
		}
		return true, "", err
	}
	s.release(st)
	f := r.GetFault()
	if f.GetKind() == string(fault.Unavailable) {
		c.leave(s, f.GetLeader())
		return false, f.GetLeader(), f.Err()
	}
	return false, "", nil
}

// answers tells whether the leader answers renewals. Then a command that takes
// long, perhaps for a slow disk, is no reason to give up the session that
// carries the lease.
func (c *Client) answers() bool {
	c.leaseMu.Lock()
	defer c.leaseMu.Unlock()
	return time.Since(c.heard) < silentAfter
}

func exchange(ctx context.Context, st *link.Stream, q, r proto.Message, limit time.Duration) error {
	_ = st.SetDeadline(time.Now().Add(limit))
	stop := context.AfterFunc(ctx, func() { _ = st.SetDeadline(time.Unix(1, 0)) })
	defer stop()
	if err := st.Send(q); err != nil {
		return err
	}
	if err := st.Recv(r); err != nil {
		return err
	}
	if !stop() {
		return ctx.Err() // the deadline is spoilt, so the stream is not reused
	}
	return nil
}
