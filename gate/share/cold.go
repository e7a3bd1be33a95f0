package share

import (
	"time"

	"citronledge.example/core/wire"
)

// maxColds limits the cold backend servers in one datagram.
const maxColds = 250

// Cold is a backend server that is cold, or that does not answer and will be
// cold when it does.
type Cold struct {
	Server uint32        // hash of its ID
	Left   time.Duration // for which it stays cold; without a meaning if it is down
	Down   bool
}

// ColdTable holds what is known of cold backend servers beyond their list.
type ColdTable interface {
	// Colds returns what gates have seen of cold servers, and MergeColds stores
	// what another gate knows.
	Colds() []Cold
	MergeColds([]Cold)
}

func (n *Node) ownColds() (list []*wire.ServerCold) {
	if n.cfg.Colds == nil {
		return nil
	}
	colds := n.cfg.Colds.Colds()
	for _, x := range colds[:min(len(colds), maxColds)] {
		list = append(list, &wire.ServerCold{Server: x.Server, Left: uint32(x.Left / time.Millisecond), Down: x.Down})
	}
	return list
}

func (n *Node) receiveColds(list []*wire.ServerCold) {
	if n.cfg.Colds == nil || len(list) == 0 {
		return
	}
	var colds []Cold
	for _, x := range list {
		colds = append(colds, Cold{x.GetServer(), time.Duration(x.GetLeft()) * time.Millisecond, x.GetDown()})
	}
	n.cfg.Colds.MergeColds(colds)
}
