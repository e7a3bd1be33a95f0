package reply

import (
	"cmp"
	"context"
	"crypto/tls"
	"errors"
	"net"
	"net/http"
	"net/http/httptrace"
	"sync/atomic"
)

// Transport is an http.Transport that uses a Conn for each connection. It speaks
// HTTP/1.1 only.
type Transport struct{ *http.Transport }

// DefaultClient is used like http.DefaultClient.
var DefaultClient = &http.Client{Transport: NewTransport(http.DefaultTransport.(*http.Transport).Clone())}

// NewTransport returns a Transport with the settings of t, which it takes over. It
// sets the DialTLSContext of t.
func NewTransport(t *http.Transport) *Transport {
	dial := t.DialContext
	if dial == nil {
		dial = (&net.Dialer{}).DialContext
	}
	t.DialContext = func(ctx context.Context, network, addr string) (net.Conn, error) {
		c, err := dial(ctx, network, addr)
		if err != nil {
			return nil, err
		}
		return NewConn(c), nil
	}
	cfg := t.TLSClientConfig
	t.DialTLSContext = func(ctx context.Context, network, addr string) (net.Conn, error) {
		c, err := dial(ctx, network, addr)
		if err != nil {
			return nil, err
		}
		return secure(ctx, c, addr, cfg)
	}
	return &Transport{t}
}

// secure makes the TLS handshake with the server at addr. cfg may be nil.
func secure(ctx context.Context, raw net.Conn, addr string, cfg *tls.Config) (net.Conn, error) {
	if cfg = cfg.Clone(); cfg == nil {
		cfg = &tls.Config{}
	}
	if cfg.ServerName == "" {
		host, _, err := net.SplitHostPort(addr)
		if err != nil {
			_ = raw.Close()
			return nil, err
		}
		cfg.ServerName = host
	}
	cfg.NextProtos = []string{"http/1.1"}
	c := tls.Client(raw, cfg)
	if err := c.HandshakeContext(ctx); err != nil {
		_ = raw.Close()
		return nil, err
	}
	return NewConn(c), nil
}

// NotSentError reports that no byte of a request has gone out, on any connection
// that was tried.
type NotSentError struct{ Cause error }

// Error implements error.
func (e NotSentError) Error() string { return "not sent: " + e.Cause.Error() }

// Unwrap returns the cause.
func (e NotSentError) Unwrap() error { return e.Cause }

// Timeout reports whether the cause is a timeout, for net/http.
func (e NotSentError) Timeout() bool {
	var n net.Error
	return errors.As(e.Cause, &n) && n.Timeout()
}

// RoundTrip implements http.RoundTripper. Its error is a NotSentError if the server
// cannot have got any of the request.
func (t *Transport) RoundTrip(r *http.Request) (*http.Response, error) {
	var c atomic.Pointer[Conn] // the transport may try again, and report the end of an earlier write meanwhile
	var sent atomic.Bool       // on an earlier connection
	trace := &httptrace.ClientTrace{
		GotConn: func(i httptrace.GotConnInfo) {
			own, ok := i.Conn.(*Conn)
			if !ok { // TLS through a proxy, which net/http makes itself
				sent.Store(true)
				return
			}
			if last := c.Swap(own); last != nil && last.wrote.Load() {
				sent.Store(true)
			}
			own.BeginRequest()
		},
		WroteRequest: func(httptrace.WroteRequestInfo) {
			if own := c.Load(); own != nil {
				own.EndRequest()
			}
		},
	}
	resp, err := t.Transport.RoundTrip(r.WithContext(httptrace.WithClientTrace(r.Context(), trace)))
	if err == nil {
		return resp, nil
	}
	last := c.Load()
	if !sent.Load() && (last == nil || !last.wrote.Load()) {
		return nil, NotSentError{err}
	}
	if last != nil {
		err = cmp.Or(last.HeadError(), err)
	}
	return nil, err
}
