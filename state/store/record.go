package store

import (
	"bytes"
	"encoding/binary"
	"hash/crc32"
)

// Entry is one entry of the replicated log. Data must not be changed after it
// was appended.
type Entry struct {
	Index, Term uint64
	Kind        uint8 // defined by the caller
	Data        []byte
}

// A record is the magic number, payload length, CRC32C of the payload (4 bytes
// each, little endian), payload. The payload starts with a fixed part: type,
// kind, index, term, synced.
const (
	recordMagic       = 0xc17a0e1d
	recordHeaderBytes = 12
	recordFixedBytes  = 1 + 1 + 8 + 8 + 8
	maxPayloadBytes   = 256 << 20
)

// Types of records.
const (
	typeEntry = 1
	// typeReset empties the log: it continues after index, whose term is term.
	typeReset = 2
	// typeSynced carries only the synced length; it is written at a clean
	// stop.
	typeSynced = 3
)

var castagnoli = crc32.MakeTable(crc32.Castagnoli)

type record struct {
	typ uint8
	Entry
	// synced is the length of the segment that was durable when the record
	// was written. A damaged record below the synced length of a later one
	// was acknowledged, so it is not a torn tail.
	synced int64
	size   int // of the whole record, bytes
}

func appendRecord(buf []byte, r record) []byte {
	le := binary.LittleEndian
	start := len(buf)
	buf = le.AppendUint32(buf, recordMagic)
	buf = le.AppendUint32(buf, uint32(recordFixedBytes+len(r.Data)))
	buf = le.AppendUint32(buf, 0)
	buf = append(buf, r.typ, r.Kind)
	buf = le.AppendUint64(buf, r.Index)
	buf = le.AppendUint64(buf, r.Term)
	buf = le.AppendUint64(buf, uint64(r.synced))
	buf = append(buf, r.Data...)
	sum := crc32.Checksum(buf[start+recordHeaderBytes:], castagnoli)
	le.PutUint32(buf[start+8:], sum)
	return buf
}

// parseRecord decodes the record at the start of buf; Data points into buf.
func parseRecord(buf []byte) (record, bool) {
	le := binary.LittleEndian
	if len(buf) < recordHeaderBytes+recordFixedBytes || le.Uint32(buf) != recordMagic {
		return record{}, false
	}
	n := int(le.Uint32(buf[4:]))
	if n < recordFixedBytes || n > maxPayloadBytes || recordHeaderBytes+n > len(buf) {
		return record{}, false
	}
	p := buf[recordHeaderBytes : recordHeaderBytes+n]
	if crc32.Checksum(p, castagnoli) != le.Uint32(buf[8:]) {
		return record{}, false
	}
	return record{
		typ:    p[0],
		Entry:  Entry{Kind: p[1], Index: le.Uint64(p[2:]), Term: le.Uint64(p[10:]), Data: p[recordFixedBytes:]},
		synced: int64(le.Uint64(p[18:])),
		size:   recordHeaderBytes + n,
	}, true
}

// isAcknowledged reports whether the bytes at offset were durable according to
// any valid record after it.
func isAcknowledged(buf []byte, offset int) bool {
	var encodedMagic [4]byte
	binary.LittleEndian.PutUint32(encodedMagic[:], recordMagic)
	for at := offset + 1; at < len(buf); at++ {
		skip := bytes.Index(buf[at:], encodedMagic[:])
		if skip < 0 {
			return false
		}
		at += skip
		if r, ok := parseRecord(buf[at:]); ok && r.synced > int64(offset) {
			return true
		}
	}
	return false
}
