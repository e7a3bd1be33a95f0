package link

import (
	"crypto/hmac"
	"crypto/sha256"
	"encoding/base64"
	"os"

	"github.com/goccy/go-yaml"
	"github.com/rotisserie/eris"
)

// Role determines what the holder of a key may do.
type Role string

// Roles of key holders.
const (
	// RoleProcess may open every kind of stream.
	RoleProcess Role = "process"
	// RoleOperator may open command and query streams only.
	RoleOperator Role = "operator"
)

const minSecretSize = 16 // bytes

// Key is one shared secret. The secret is never logged.
type Key struct {
	Name   string
	Role   Role
	secret []byte
}

// Keys is the content of a key file. The first key signs and all keys are
// accepted. To rotate a key, append the new one to every file, then move it to
// the front, then remove the old one.
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

// LoadKeys reads a key file: a YAML list "keys" of entries with name, role
// ("process" or "operator") and secret (base64, at least 16 bytes).
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
	// The library's error may quote the source, including a secret.
	if err := yaml.UnmarshalWithOptions(data, &file, yaml.Strict()); err != nil {
		// The error of the library may quote the source, and with it a secret.
		return nil, eris.New("key file is not valid YAML; expected keys: [{name, role, secret}]")
	}
	keys := &Keys{}
	for i, k := range file.Keys {
		secret, err := base64.StdEncoding.DecodeString(k.Secret)
		if err != nil || len(secret) < minSecretSize {
			return nil, eris.Errorf("key %d: secret must be base64 of at least %d bytes", i+1, minSecretSize)
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

// macSize is the length in bytes of the truncated HMAC of a datagram.
const macSize = 16

// SignDatagram appends a truncated HMAC by the signing key to a datagram.
func (k *Keys) SignDatagram(datagram []byte) []byte {
	return append(datagram, k.SigningKey().proof([]byte("datagram"), datagram)[:macSize]...)
}

// VerifyDatagram returns the content of a datagram that was signed with a key
// of role RoleProcess, and whether the signature is valid.
func (k *Keys) VerifyDatagram(signed []byte) ([]byte, bool) {
	if len(signed) < macSize {
		return nil, false
	}
	data, mac := signed[:len(signed)-macSize], signed[len(signed)-macSize:]
	for _, key := range k.list {
		if key.Role == RoleProcess && hmac.Equal(mac, key.proof([]byte("datagram"), data)[:macSize]) {
			return data, true
		}
	}
	return nil, false
}

// proof returns the HMAC-SHA256 of the parts, each preceded by its length as
// four bytes in big-endian order.
func (k Key) proof(parts ...[]byte) []byte {
	mac := hmac.New(sha256.New, k.secret)
	for _, part := range parts {
		n := len(part)
		mac.Write([]byte{byte(n >> 24), byte(n >> 16), byte(n >> 8), byte(n)})
		mac.Write(part)
	}
	return mac.Sum(nil)
}
