package caller

import (
	"fmt"
	"strings"
)

// ServiceKey returns the idempotency key that the service gets for an operation
// customer/route/key. It contains all three: with the caller's key alone, a
// service that deduplicates by key would give one customer the answer of
// another that chose the same key.
//
// The parts are joined by colons. All bytes but letters, digits, "-", "." and
// "_" are written as "~" and two hex digits, so that the key needs no escaping
// as a header value or a path segment, and no two operations share a key.
func ServiceKey(operation string) string {
	var b strings.Builder
	for i, part := range strings.SplitN(operation, "/", 3) {
		if i > 0 {
			b.WriteByte(':')
		}
		for _, c := range []byte(part) {
			if isPlain(c) {
				b.WriteByte(c)
			} else {
				fmt.Fprintf(&b, "~%02X", c)
			}
		}
	}
	return b.String()
}

func isPlain(c byte) bool {
	return 'a' <= c && c <= 'z' || 'A' <= c && c <= 'Z' || '0' <= c && c <= '9' || c == '-' || c == '.' || c == '_'
}
