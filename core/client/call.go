package client

import (
	"context"
	"time"

	"google.golang.org/protobuf/proto"

	"citronledge.example/core/fault"
	"citronledge.example/core/link"
	"citronledge.example/core/wire"
)

// Propose sends a command to the leader, which has the state cluster commit it,
// and returns the result. If the ledger refuses the command, Propose returns
// both the result and its fault. If the connection is lost, a command whose
// repetition the ledger recognizes is resent until ctx ends. After that, a
// fault of kind Unknown with a nil result means that the command may have been
// committed; Unavailable means that it was not.
func (c *Client) Propose(ctx context.Context, cmd *wire.Command) (*wire.Result, error) {
	var r wire.Result
	sent, err := c.callLeader(ctx, wire.Kind_COMMAND, cmd, &r, requestTimeout, resendable(cmd))
	if err != nil {
		if sent {
			return nil, fault.New(fault.Unknown, "the state cluster did not confirm the command; look at the state before repeating it")
		}
		return nil, err
	}
	return &r, r.GetFault().Err()
}

// Query sends a query to the leader.
func (c *Client) Query(ctx context.Context, q *wire.Query) (*wire.Answer, error) {
	var a wire.Answer
	timeout := requestTimeout + time.Duration(q.GetWait().GetTimeout())*time.Millisecond
	if _, err := c.callLeader(ctx, wire.Kind_QUERY, q, &a, timeout, true); err != nil {
		return nil, err
	}
	return &a, a.GetFault().Err()
}

// resendable reports whether the ledger recognizes a repetition of the command.
func resendable(cmd *wire.Command) bool {
	switch k := cmd.GetKind().(type) {
	case *wire.Command_Enroll:
		return false
	case *wire.Command_Hand:
		return k.Hand.GetNonce() != 0 // without it a repetition is refused
	}
	return true
}

type response interface {
	proto.Message
	GetFault() *wire.Fault
}

// callLeader exchanges two messages with the leader. It reports whether a
// process may have accepted the request without answering.
func (c *Client) callLeader(ctx context.Context, kind wire.Kind, q proto.Message, r response, timeout time.Duration, resend bool) (sent bool, err error) {
	retry := backoff{limit: c.maxBackoff}
	for {
		tried, leader, err := c.tryOnce(ctx, kind, q, r, timeout)
		sent = sent || tried
		switch {
		case err == nil:
			return sent, nil
		case tried && !resend:
			return sent, err
		}
		if leader != "" && retry.delay == 0 {
			retry.delay = minBackoff // follow the first leader hint immediately
			continue
		}
		if retry.wait(ctx) != nil {
			return sent, unavailable(err)
		}
	}
}

func unavailable(err error) error {
	return fault.New(fault.Unavailable, "no leader of the state cluster answers ("+fault.From(err).Message+"); check the state processes")
}

// tryOnce makes one exchange. An error means that there was no answer.
func (c *Client) tryOnce(ctx context.Context, kind wire.Kind, q proto.Message, r response, timeout time.Duration) (sent bool, leader string, err error) {
	s, err := c.connect(ctx)
	if err != nil {
		return false, "", err
	}
	st, err := s.stream(kind)
	if err != nil {
		c.dropSession(s, "")
		return false, "", err
	}
	if err := roundTrip(ctx, st, q, r, timeout); err != nil {
		_ = st.Close()
		if ctx.Err() == nil && !c.leaderAnswers() {
			c.dropSession(s, "")
		}
		return true, "", err
	}
	s.release(st)
	f := r.GetFault()
	if f.GetKind() == string(fault.Unavailable) {
		c.dropSession(s, f.GetLeader())
		return false, f.GetLeader(), f.Err()
	}
	return false, "", nil
}

// leaderAnswers reports whether the leader answers renewals. If so, a command
// that takes long, for example because of a slow disk, is no reason to close
// the session that carries the lease.
func (c *Client) leaderAnswers() bool {
	c.leaseMu.Lock()
	defer c.leaseMu.Unlock()
	return time.Since(c.lastGrant) < renewalTimeout
}

func roundTrip(ctx context.Context, st *link.Stream, q, r proto.Message, timeout time.Duration) error {
	_ = st.SetDeadline(time.Now().Add(timeout))
	stop := context.AfterFunc(ctx, func() { _ = st.SetDeadline(time.Unix(1, 0)) })
	defer stop()
	if err := st.Send(q); err != nil {
		return err
	}
	if err := st.Recv(r); err != nil {
		return err
	}
	if !stop() {
		return ctx.Err() // the deadline has been changed, so the stream is not reused
	}
	return nil
}
