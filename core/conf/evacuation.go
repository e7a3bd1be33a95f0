package conf

import (
	"strings"
	"unicode/utf8"

	"github.com/rotisserie/eris"

	"citronledge.example/core/ident"
)

// Evacuation is an evacuation of an availability zone in progress: backend servers
// of the zone get no new attempts.
type Evacuation struct {
	// BeganAtMillis is the ledger's time of the command, in ms since the Unix epoch.
	BeganAtMillis uint64 `json:"began"`
	// Actor is the operator or process that sent the command.
	Actor string `json:"actor,omitempty"`
}

// maxZoneBytes bounds the name of a zone, which becomes part of a key of the
// replicated configuration.
const maxZoneBytes = 128

// CheckZone returns an error unless the name may be that of an availability zone:
// 1 to 128 bytes of UTF-8 without control characters, spaces and slashes. The zone
// need not be known, since lists of backend servers may lag. The check does not
// depend on Unicode tables, which differ between releases of Go: all replicas of the
// ledger must decide alike.
func CheckZone(zone ident.Zone) error {
	name := string(zone)
	switch {
	case name == "":
		return eris.New("the zone has no name")
	case len(name) > maxZoneBytes:
		return eris.Errorf("the name of the zone has %d bytes; at most %d are allowed", len(name), maxZoneBytes)
	case !utf8.ValidString(name) || strings.ContainsFunc(name, func(r rune) bool { return r <= ' ' || r == '/' || r == 0x7f }):
		return eris.New("the name of the zone has a slash, a space or a control character, or is not UTF-8")
	}
	return nil
}
