package link

import (
	"crypto/hmac"
	"crypto/sha256"
	"encoding/base64"
	"os"

	"github.com/goccy/go-yaml"
	"github.com/rotisserie/eris"
)

// Role tells what the holder of a key may do.
type Role string

// Roles of key holders.
const (
	// RoleProcess may open every kind of stream.
	RoleProcess Role = "process"
	// RoleOperator may open command and query streams.
	RoleOperator Role = "operator"
)

const minSecret = 16 // bytes

// Key is one shared secret. The secret is never logged.
type Key struct {
	Name   string
	Role   Role
	secret []byte
}

// Keys is the content of a key file. The first key signs; all are accepted,
// so that a key is rotated by adding the new one at the end of every file,
// then moving it to the front, then removing the old one.
type Keys struct {
	list []Key
}

type keyFile struct {
	Keys []struct {
		Name   string `yaml:"name"`
		Role   Role   `yaml:"role"`
		Secret string `yaml:"secret"`
	} `yaml:"keys"`
}

// LoadKeys reads a key file: a YAML list "keys" of name, role ("process" or
// "operator") and secret (base64, at least 16 bytes).
func LoadKeys(path string) (*Keys, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return nil, eris.Wrap(err, "cannot read the key file; set --keys to a readable file")
	}
	return ParseKeys(data)
}

// ParseKeys parses the content of a key file.
func ParseKeys(data []byte) (*Keys, error) {
	var file keyFile
	if err := yaml.UnmarshalWithOptions(data, &file, yaml.Strict()); err != nil {
		// The error of the library may quote the source, and with it a secret.
		return nil, eris.New("key file is not valid YAML; expected keys: [{name, role, secret}]")
	}
	keys := &Keys{}
	for i, k := range file.Keys {
		secret, err := base64.StdEncoding.DecodeString(k.Secret)
		if err != nil || len(secret) < minSecret {
			return nil, eris.Errorf("key %d: secret must be base64 of at least %d bytes", i+1, minSecret)
		}
		if k.Name == "" || (k.Role != RoleProcess && k.Role != RoleOperator) {
			return nil, eris.Errorf("key %d: set a name, and role to %q or %q", i+1, RoleProcess, RoleOperator)
		}
		keys.list = append(keys.list, Key{Name: k.Name, Role: k.Role, secret: secret})
	}
	if len(keys.list) == 0 {
		return nil, eris.New("key file has no keys; add at least one")
	}
	return keys, nil
}

// NewKeys returns a key set with one key, for tests and the demo.
func NewKeys(name string, role Role, secret []byte) *Keys {
	return &Keys{list: []Key{{Name: name, Role: role, secret: secret}}}
}

// SigningKey returns the key that signs.
func (k *Keys) SigningKey() Key { return k.list[0] }

func (k *Keys) find(name string) (Key, bool) {
	for _, key := range k.list {
		if key.Name == name {
			return key, true
		}
	}
	return Key{}, false
}

// sealSize is the length of a seal in bytes.
const sealSize = 16

// SignDatagram appends a proof of the signing key to a datagram.
func (k *Keys) SignDatagram(datagram []byte) []byte {
	return append(datagram, k.SigningKey().proof([]byte("datagram"), datagram)[:sealSize]...)
}

// VerifyDatagram returns the content of a datagram that a process sealed.
func (k *Keys) VerifyDatagram(sealed []byte) ([]byte, bool) {
	if len(sealed) < sealSize {
		return nil, false
	}
	data, seal := sealed[:len(sealed)-sealSize], sealed[len(sealed)-sealSize:]
	for _, key := range k.list {
		if key.Role == RoleProcess && hmac.Equal(seal, key.proof([]byte("datagram"), data)[:sealSize]) {
			return data, true
		}
	}
	return nil, false
}

// proof returns the HMAC-SHA256 of the parts, each preceded by its length.
func (k Key) proof(parts ...[]byte) []byte {
	mac := hmac.New(sha256.New, k.secret)
	for _, part := range parts {
		n := len(part)
		mac.Write([]byte{byte(n >> 24), byte(n >> 16), byte(n >> 8), byte(n)})
		mac.Write(part)
	}
	return mac.Sum(nil)
}
