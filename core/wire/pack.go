package wire

import (
	"bytes"
	"compress/flate"
	"io"

	"github.com/rotisserie/eris"
	"google.golang.org/protobuf/proto"
)

const (
	// minPackBytes is the size from which a delta is compressed.
	minPackBytes = 4 << 10
	// maxUnpackedBytes limits what a packed delta may hold.
	maxUnpackedBytes = 64 << 20
)

// Pack returns the delta with its entries compressed, or the delta itself if it
// is small. A configuration with many routes is pushed to every gate at once;
// as it is, it would hold up the heartbeats on the leader's link.
func (x *Delta) Pack() *Delta {
	if proto.Size(x) < minPackBytes {
		return x
	}
	data, err := proto.Marshal(&Delta{Entries: x.GetEntries()})
	if err != nil {
		return x // it will fail to be sent, with the same error
	}
	var b bytes.Buffer
	// Writes to a buffer do not fail, and the level is valid.
	w, _ := flate.NewWriter(&b, flate.BestSpeed)
	_, _ = w.Write(data)
	_ = w.Close()
	return &Delta{From: x.GetFrom(), Revision: x.GetRevision(), Full: x.GetFull(), Packed: b.Bytes()}
}

// Unpack returns the delta with its entries, whether it is packed or not.
func (x *Delta) Unpack() (*Delta, error) {
	if len(x.GetPacked()) == 0 {
		return x, nil
	}
	data, err := io.ReadAll(io.LimitReader(flate.NewReader(bytes.NewReader(x.GetPacked())), maxUnpackedBytes+1))
	if err != nil {
		return nil, eris.Wrap(err, "the packed delta cannot be read; request a full one")
	}
	if len(data) > maxUnpackedBytes {
		return nil, eris.Errorf("the packed delta holds over %d bytes; reduce the configuration", maxUnpackedBytes)
	}
	var d Delta
	if err := proto.Unmarshal(data, &d); err != nil {
		return nil, eris.Wrap(err, "the packed delta is not valid; request a full one")
	}
	d.From, d.Revision, d.Full = x.GetFrom(), x.GetRevision(), x.GetFull()
	return &d, nil
}
