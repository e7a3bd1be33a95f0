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

// Ports come from below the usual range of outgoing connections: one of those
// could take a port between the choice here and the start of the process.
const (
	firstPort = 20_000
	lastPort  = 32_000
	portTries = 1000
)

// port returns a free loopback address that was not given before.
func (s *System) port() string {
	for range portTries {
		addr := fmt.Sprintf("127.0.0.1:%d", firstPort+mathrand.IntN(lastPort-firstPort))
		if s.ports[addr] {
			continue
		}
		ln, err := net.Listen("tcp", addr)
		if err != nil {
			continue
		}
		_ = ln.Close()
		s.ports[addr] = true
		return addr
	}
	s.err = errors.Join(s.err, errors.New("found no free port on the loopback address"))
	return "127.0.0.1:0"
}

// writeKeys writes a key file with a fresh key for the processes and one for
// operators. The first one signs.
func writeKeys(path string, roles ...string) error {
	text := "keys:\n"
	for _, role := range roles {
		text += fmt.Sprintf("  - {name: %s, role: %s, secret: %s}\n", role, role, secrets[role])
	}
	return os.WriteFile(path, []byte(text), 0o600)
}

var secrets = map[string]string{"process": secret(), "operator": secret()}

func secret() string {
	var b [32]byte
	_, _ = rand.Read(b[:]) // never fails
	return base64.StdEncoding.EncodeToString(b[:])
}
