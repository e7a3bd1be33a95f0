package link

import (
	"bufio"
	"bytes"
	"encoding/base64"
	"errors"
	"fmt"
	"io"
	"net"
	"strings"
	"testing"

	"google.golang.org/protobuf/proto"

	"citronledge.example/core/bubble"
	"citronledge.example/core/wire"
)

func newTestKeys(t *testing.T, list ...string) *Keys {
	t.Helper()
	text := "keys:\n"
	for _, item := range list {
		name, role, _ := strings.Cut(item, ":")
		secret := base64.StdEncoding.EncodeToString([]byte("secret of " + name + " 0123456789"))
		text += fmt.Sprintf("  - {name: %s, role: %s, secret: %s}\n", strings.TrimSuffix(name, "!"), role, secret)
	}
	k, err := ParseKeys([]byte(text))
	if err != nil {
		t.Fatal(err)
	}
	return k
}

// newSessionPair connects a client and a server session and returns the errors
// of both ends.
func newSessionPair(client, server *Keys) (a, b *Session, errA, errB error) {
	x, y := net.Pipe()
	done := make(chan struct{})
	go func() {
		defer close(done)
		b, errB = Server(y, Config{Name: "server", Keys: server})
	}()
	a, errA = Client(x, Config{Name: "client", Keys: client})
	<-done
	return a, b, errA, errB
}

// Guards against a session with a peer that does not hold a valid key, and
// against a key rotation that interrupts sessions.
func TestHandshake(t *testing.T) {
	tests := map[string]struct {
		client, server []string
		role           Role
	}{
		"same key":                {[]string{"k1:process"}, []string{"k1:process"}, RoleProcess},
		"rotation, new key added": {[]string{"k1:process", "k2:process"}, []string{"k2:process", "k1:process"}, RoleProcess},
		"operator":                {[]string{"ops:operator"}, []string{"k1:process", "ops:operator"}, RoleOperator},
		"unknown key":             {[]string{"k3:process"}, []string{"k1:process"}, ""},
		"other secret":            {[]string{"k1!:process"}, []string{"k1:process"}, ""},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			bubble.Test(t, func(t *testing.T) {
				a, b, errA, errB := newSessionPair(newTestKeys(t, tt.client...), newTestKeys(t, tt.server...))
				if tt.role == "" {
					if errA == nil || errB == nil {
						t.Fatalf("got errors %v and %v, want both ends to refuse", errA, errB)
					}
					return
				}
				if errA != nil || errB != nil {
					t.Fatalf("got errors %v and %v, want none", errA, errB)
				}
				if got := b.Peer(); got.Name != "client" || got.Role != tt.role {
					t.Errorf("got peer %+v, want client with role %s", got, tt.role)
				}
				_, _ = a.Close(), b.Close()
			})
		})
	}
}

// Guards against an operator key that allows its holder to act as a process.
func TestOperatorMayNotServe(t *testing.T) {
	bubble.Test(t, func(t *testing.T) {
		a, b, errA, errB := newSessionPair(newTestKeys(t, "ops:operator"), newTestKeys(t, "k1:process", "ops:operator"))
		if err := errors.Join(errA, errB); err != nil {
			t.Fatal(err)
		}
		defer func() { _, _ = a.Close(), b.Close() }()
		got := make(chan wire.Kind, 1)
		go func() {
			if st, err := b.Accept(); err == nil {
				got <- st.Kind()
			}
		}()
		for _, kind := range []wire.Kind{wire.Kind_WORK, wire.Kind_RAFT, wire.Kind_CONTROL, wire.Kind_RELAY} {
			st, err := a.Open(kind)
			if err != nil {
				t.Fatal(err)
			}
			if err := st.Recv(&wire.Open{}); !errors.Is(err, io.EOF) {
				t.Errorf("stream of kind %s: got %v, want the stream closed", kind, err)
			}
		}
		if _, err := a.Open(wire.Kind_QUERY); err != nil {
			t.Fatal(err)
		}
		if kind := <-got; kind != wire.Kind_QUERY {
			t.Errorf("got a stream of kind %s, want only QUERY", kind)
		}
	})
}

// Guards against messages of one stream that are truncated or mixed up.
func TestStreamMessages(t *testing.T) {
	bubble.Test(t, func(t *testing.T) {
		k := newTestKeys(t, "k1:process")
		a, b, errA, errB := newSessionPair(k, k)
		if err := errors.Join(errA, errB); err != nil {
			t.Fatal(err)
		}
		defer func() { _, _ = a.Close(), b.Close() }()
		const count = 100
		go func() {
			st, err := a.Open(wire.Kind_WORK)
			for i := 0; err == nil && i < count; i++ {
				err = st.Send(&wire.Chunk{Data: bytes.Repeat([]byte{byte(i)}, i*100)})
			}
			_ = st.Close()
		}()
		st, err := b.Accept()
		if err != nil {
			t.Fatal(err)
		}
		for i := range count {
			var c wire.Chunk
			if err := st.Recv(&c); err != nil || len(c.Data) != i*100 || (i > 0 && c.Data[0] != byte(i)) {
				t.Fatalf("message %d: got %d bytes and %v, want %d bytes", i, len(c.Data), err, i*100)
			}
		}
		if err := st.Recv(&wire.Chunk{}); !errors.Is(err, io.EOF) {
			t.Errorf("got %v, want io.EOF after the last message", err)
		}
	})
}

// Guards against key files that weaken the authentication.
func TestParseKeysRefuses(t *testing.T) {
	tests := map[string]string{
		"empty":         "",
		"no keys":       "keys: []",
		"short secret":  "keys: [{name: a, role: process, secret: AAAA}]",
		"not base64":    "keys: [{name: a, role: process, secret: '***'}]",
		"unknown role":  "keys: [{name: a, role: root, secret: MDEyMzQ1Njc4OWFiY2RlZg==}]",
		"unknown field": "keys: [{name: a, role: process, secret: MDEyMzQ1Njc4OWFiY2RlZg==, path: x}]",
	}
	for name, text := range tests {
		t.Run(name, func(t *testing.T) {
			_, err := ParseKeys([]byte(text))
			if err == nil {
				t.Fatal("got no error")
			}
			if strings.Contains(err.Error(), "MDEy") {
				t.Errorf("got %q, which shows the secret", err)
			}
		})
	}
}

// Guards against a decoder that panics or allocates unbounded memory for input
// from a peer that is not authenticated yet.
func FuzzRead(f *testing.F) {
	good, err := appendMessage(nil, &wire.Hello{Name: "a", Key: "k", Nonce: make([]byte, nonceSize)})
	if err != nil {
		f.Fatal(err)
	}
	f.Add(good)
	f.Add([]byte{0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0x01})
	f.Fuzz(func(t *testing.T, data []byte) {
		var m wire.Hello
		if err := readMessage(bufio.NewReader(bytes.NewReader(data)), &m, maxHandshakeMessage); err != nil {
			return
		}
		if proto.Size(&m) > maxHandshakeMessage {
			t.Errorf("got a message of %d bytes, want at most %d", proto.Size(&m), maxHandshakeMessage)
		}
	})
}
