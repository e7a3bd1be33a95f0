package link

import (
	"context"
	"net"
	"sync"

	"github.com/rotisserie/eris"
	"k8s.io/klog/v2"
)

// Serve accepts connections on ln until ctx ends, then closes ln. It runs a
// session over each connection and calls handle, in its own goroutine, for each
// stream that the peer opens. The stream is closed when handle returns.
func Serve(ctx context.Context, ln net.Listener, cfg Config, handle func(context.Context, *Stream)) error {
	stop := context.AfterFunc(ctx, func() { _ = ln.Close() })
	defer stop()
	var wg sync.WaitGroup
	defer wg.Wait()
	sessions, cancel := context.WithCancel(ctx)
	defer cancel()
	for {
		conn, err := ln.Accept()
		if err != nil {
			if ctx.Err() != nil {
				return nil
			}
			return eris.Wrap(err, "cannot accept connections")
		}
		wg.Go(func() { ServeConn(sessions, conn, cfg, handle) })
	}
}

// ServeConn runs one session over an accepted connection until the session or
// ctx ends. It calls handle as Serve does.
func ServeConn(ctx context.Context, conn net.Conn, cfg Config, handle func(context.Context, *Stream)) {
	s, err := Server(conn, cfg)
	if err != nil {
		klog.V(1).InfoS("Session refused", "from", conn.RemoteAddr(), "err", err)
		return
	}
	stop := context.AfterFunc(ctx, func() { _ = s.Close() })
	defer stop()
	var wg sync.WaitGroup
	defer wg.Wait()
	defer func() { _ = s.Close() }()
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	for {
		st, err := s.Accept()
		if err != nil {
			return
		}
		wg.Go(func() {
			defer func() { _ = st.Close() }()
			handle(ctx, st)
		})
	}
}
