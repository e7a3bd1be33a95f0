package relay

import "bytes"

var (
	// eventSeparators end an event: a blank line, with each line ending that event
	// streams may have.
	eventSeparators = [][]byte{[]byte("\n\n"), []byte("\n\r\n"), []byte("\r\r")}
	idField         = []byte("id:")
	dataField       = []byte("data:")
	comment         = []byte(":")
)

// isProgress reports whether whole events have an ID or data. Comments, which a
// server may send without end, have neither.
func isProgress(events []byte) bool {
	for line := range bytes.FieldsFuncSeq(events, isLineEnd) {
		if bytes.HasPrefix(line, idField) || bytes.HasPrefix(line, dataField) {
			return true
		}
	}
	return false
}

func isLineEnd(c rune) bool { return c == '\n' || c == '\r' }

// wholeEvents returns how many bytes of a stream are whole events.
func wholeEvents(b []byte) int {
	end := 0
	for _, sep := range eventSeparators {
		if i := bytes.LastIndex(b, sep); i >= 0 {
			end = max(end, i+len(sep))
		}
	}
	return end
}

// countEvents returns how many whole events a part of a stream has.
func countEvents(events []byte) int {
	n := 0
	for _, sep := range eventSeparators {
		n += bytes.Count(events, sep)
	}
	return n
}

// endsInEvent reports whether a stream ended in the middle of an event, given
// what followed the last whole one. Blank lines and whole comments are no event.
func endsInEvent(rest []byte) bool {
	for line := range bytes.FieldsFuncSeq(rest, isLineEnd) {
		if !bytes.HasPrefix(line, comment) {
			return true
		}
	}
	return len(rest) > 0 && !isLineEnd(rune(rest[len(rest)-1]))
}

// lastEventIDOf returns the ID of the last event.
func lastEventIDOf(events []byte) string {
	i := bytes.LastIndex(events, idField)
	for i > 0 && !isLineEnd(rune(events[i-1])) {
		i = bytes.LastIndex(events[:i], idField)
	}
	if i < 0 {
		return ""
	}
	line := events[i+len(idField):]
	if end := bytes.IndexFunc(line, isLineEnd); end >= 0 {
		line = line[:end]
	}
	return string(bytes.TrimSpace(line))
}
