package launch

import (
	"crypto/rand"
	"encoding/base64"
	"errors"
	"fmt"
	mathrand "math/rand/v2"
	"net"
	"os"
)

// Ports are below the usual range of ephemeral ports. An outgoing connection could
// otherwise take a port between its choice here and the start of the process.
const (
	firstPort    = 20_000
	lastPort     = 32_000
	maxPortTries = 1000
)

// freeAddr returns a free loopback address that was not returned before.
func (s *System) freeAddr() string {
	for range maxPortTries {
		addr := fmt.Sprintf("127.0.0.1:%d", firstPort+mathrand.IntN(lastPort-firstPort))
		if s.usedAddrs[addr] {
			continue
		}
		ln, err := net.Listen("tcp", addr)
		if err != nil {
			continue
		}
		_ = ln.Close()
		s.usedAddrs[addr] = true
		return addr
	}
	s.prepareErr = errors.Join(s.prepareErr, errors.New("found no free port on the loopback address"))
	return "127.0.0.1:0"
}

// writeKeys writes a key file with one key for each role. The first key signs.
func writeKeys(path string, roles ...string) error {
	text := "keys:\n"
	for _, role := range roles {
		text += fmt.Sprintf("  - {name: %s, role: %s, secret: %s}\n", role, role, secrets[role])
	}
	return os.WriteFile(path, []byte(text), 0o600)
}

var secrets = map[string]string{"process": randomSecret(), "operator": randomSecret()}

func randomSecret() string {
	var b [32]byte
	_, _ = rand.Read(b[:]) // never fails
	return base64.StdEncoding.EncodeToString(b[:])
}
