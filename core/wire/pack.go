package wire

import (
	"bytes"
	"compress/flate"
	"io"

	"github.com/rotisserie/eris"
	"google.golang.org/protobuf/proto"
)

const (
	// MinPackBytes is the size from which messages are compressed.
	MinPackBytes = 4 << 10
	// maxUnpackedBytes limits what a compressed message may hold.
	maxUnpackedBytes = 64 << 20
)

// Compress returns the encoded message, compressed.
func Compress(m proto.Message) ([]byte, error) {
	data, err := proto.Marshal(m)
	if err != nil {
		return nil, eris.Wrap(err, "the message cannot be encoded")
	}
	var b bytes.Buffer
	// Writes to a buffer do not fail, and the level is valid.
	w, _ := flate.NewWriter(&b, flate.BestSpeed)
	_, _ = w.Write(data)
	_ = w.Close()
	return b.Bytes(), nil
}

// Decompress decodes a message that Compress returned.
func Decompress(packed []byte, m proto.Message) error {
	data, err := io.ReadAll(io.LimitReader(flate.NewReader(bytes.NewReader(packed)), maxUnpackedBytes+1))
	if err != nil {
		return eris.Wrap(err, "the compressed message cannot be read")
	}
	if len(data) > maxUnpackedBytes {
		return eris.Errorf("the compressed message holds over %d bytes; reduce the configuration", maxUnpackedBytes)
	}
	if err := proto.Unmarshal(data, m); err != nil {
		return eris.Wrap(err, "the compressed message is not valid")
	}
	return nil
}

// Pack returns the delta with its entries compressed, or the delta itself if it
// is small. A configuration with many routes is pushed to every gate at once;
// as it is, it would hold up the heartbeats on the leader's link.
func (x *Delta) Pack() *Delta {
	if proto.Size(x) < MinPackBytes {
		return x
	}
	packed, err := Compress(&Delta{Entries: x.GetEntries()})
	if err != nil {
		return x // it will fail to be sent, with the same error
	}
	return &Delta{From: x.GetFrom(), Revision: x.GetRevision(), Full: x.GetFull(), Packed: packed}
}

// Unpack returns the delta with its entries, whether it is packed or not. After
// an error, the receiver has to request a full delta.
func (x *Delta) Unpack() (*Delta, error) {
	if len(x.GetPacked()) == 0 {
		return x, nil
	}
	var d Delta
	if err := Decompress(x.GetPacked(), &d); err != nil {
		return nil, err
	}
	d.From, d.Revision, d.Full = x.GetFrom(), x.GetRevision(), x.GetFull()
	return &d, nil
}
