package node

import (
	"context"
	"time"

	"citronledge.example/core/conf"
	"citronledge.example/core/ident"
	"citronledge.example/core/ledger"
	"citronledge.example/core/wire"
)

// adminTime bounds an order of the administration API. Its callers move on to
// another process after a second.
const adminTime = 900 * time.Millisecond

// ReplaceDocument has a configuration document committed under the operator's
// version. It returns nil as well when the version is held with the same
// content or is overtaken by a higher one. A fault of kind Conflict says that
// the version is held with other content; raft.NotLeader, that it was not
// accepted here; any other error, that the outcome is unknown.
func (n *Node) ReplaceDocument(ctx context.Context, version uint64, body []byte) error {
	return n.order(ctx, &wire.Command{Actor: "operator", Kind: &wire.Command_Replace{Replace: &wire.Replace{
		Version: version, Digest: ledger.DocumentDigest(body), Document: body,
	}}})
}

// StartServiceRollout starts the roll-out of a version of a service. Its errors are those of
// ReplaceDocument.
func (n *Node) StartServiceRollout(ctx context.Context, service ident.Service, target ident.Version, length time.Duration) error {
	return n.order(ctx, &wire.Command{Actor: "operator", Kind: &wire.Command_Shift{Shift: &wire.Shift{
		Service: string(service), Target: string(target), Duration: uint64(length / time.Millisecond), Phase: string(conf.StageCanary),
	}}})
}

func (n *Node) order(ctx context.Context, c *wire.Command) error {
	ctx, cancel := context.WithTimeout(ctx, adminTime)
	defer cancel()
	r, err := n.propose(ctx, c)
	if err != nil {
		return err
	}
	return r.GetFault().Err()
}

// Document returns the newest configuration document, on any state process. It
// fails rather than return one that is older than an acknowledged one.
func (n *Node) Document(ctx context.Context) (conf.Document, error) {
	ctx, cancel := context.WithTimeout(ctx, adminTime)
	defer cancel()
	if err := n.cons.ReadBarrier(ctx); err != nil {
		return conf.Document{}, err
	}
	return n.ledger.Document(), nil
}

// ServiceRollout returns the last roll-out of a service, on any state process.
func (n *Node) ServiceRollout(ctx context.Context, service ident.Service) (conf.ServiceRollout, bool, error) {
	ctx, cancel := context.WithTimeout(ctx, adminTime)
	defer cancel()
	if err := n.cons.ReadBarrier(ctx); err != nil {
		return conf.ServiceRollout{}, false, err
	}
	s, ok := n.ledger.ServiceRollouts()[service]
	return s, ok, nil
}
