package node

import (
	"context"
	"time"

	"citronledge.example/core/conf"
	"citronledge.example/core/ident"
	"citronledge.example/core/ledger"
	"citronledge.example/core/wire"
)

// adminTimeout limits a call of the administration API. Its callers try another
// process after a second.
const adminTimeout = 900 * time.Millisecond

// ReplaceDocument commits a configuration document under the operator's
// version. It also returns nil if this version is already held with the same
// content, or if a higher version is. A fault of kind Conflict means that the
// version is held with other content; raft.NotLeader, that the document was not
// accepted here; any other error, that the outcome is unknown.
func (n *Node) ReplaceDocument(ctx context.Context, version uint64, body []byte) error {
	return n.proposeOrder(ctx, &wire.Command{Actor: "operator", Kind: &wire.Command_Replace{Replace: &wire.Replace{
		Version: version, Digest: ledger.DocumentDigest(body), Document: body,
	}}})
}

// StartServiceRollout starts the rollout of a version of a service. Its errors
// are those of ReplaceDocument.
func (n *Node) StartServiceRollout(ctx context.Context, service ident.Service, target ident.Version, length time.Duration) error {
	return n.proposeOrder(ctx, &wire.Command{Actor: "operator", Kind: &wire.Command_Shift{Shift: &wire.Shift{
		Service: string(service), Target: string(target), Duration: uint64(length / time.Millisecond), Phase: string(conf.StageCanary),
	}}})
}

// Evacuate begins the evacuation of a zone, or ends it. It also returns nil if
// nothing is left to do. Its errors are those of ReplaceDocument.
func (n *Node) Evacuate(ctx context.Context, zone ident.Zone, end bool) error {
	return n.proposeOrder(ctx, &wire.Command{Actor: "operator", Kind: &wire.Command_Evacuate{Evacuate: &wire.Evacuate{Zone: string(zone), End: end}}})
}

func (n *Node) proposeOrder(ctx context.Context, c *wire.Command) error {
	ctx, cancel := context.WithTimeout(ctx, adminTimeout)
	defer cancel()
	r, err := n.propose(ctx, c)
	if err != nil {
		return err
	}
	return r.GetFault().Err()
}

// Document returns the newest configuration document; any state process can
// answer. It fails rather than return a document older than an acknowledged
// one.
func (n *Node) Document(ctx context.Context) (conf.Document, error) {
	ctx, cancel := context.WithTimeout(ctx, adminTimeout)
	defer cancel()
	if err := n.consensus.ReadBarrier(ctx); err != nil {
		return conf.Document{}, err
	}
	return n.ledger.Document(), nil
}

// ServiceRollout returns the last rollout of a service, and whether there was
// one; any state process can answer.
func (n *Node) ServiceRollout(ctx context.Context, service ident.Service) (conf.ServiceRollout, bool, error) {
	ctx, cancel := context.WithTimeout(ctx, adminTimeout)
	defer cancel()
	if err := n.consensus.ReadBarrier(ctx); err != nil {
		return conf.ServiceRollout{}, false, err
	}
	s, ok := n.ledger.ServiceRollouts()[service]
	return s, ok, nil
}
