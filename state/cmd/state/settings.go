package main

import (
	"errors"
	"flag"
	"fmt"
	"net/url"
	"strings"

	"citronledge.example/core/server"
	"citronledge.example/state/raft"
)

type settings struct {
	server.Settings
	listenAddr    string
	dataDir       string
	peers         []raft.Member
	memberListURL string
	join          bool

	peerList   string // value of --peers, not yet parsed
	onPlatform bool
	// advertiseAddr is the address at which the other processes reach this
	// one on the users' platform, if it differs from listenAddr; reachAddr is the
	// address in effect.
	advertiseAddr, reachAddr string
	node                     *platformNode // nil outside the users' platform
}

// Register implements server.Program.
func (s *settings) Register(fs *flag.FlagSet) {
	s.Settings.Register(fs)
	fs.StringVar(&s.listenAddr, "listen", "127.0.0.1:7400", "address for sessions of the other processes")
	fs.StringVar(&s.dataDir, "data", "", "data folder of this process; must be on a disk")
	fs.StringVar(&s.peerList, "peers", "", "all state processes including this one: NAME=HOST:PORT,...")
	fs.StringVar(&s.memberListURL, "members", "", "URL of the platform's list of members; empty for none")
	fs.StringVar(&s.advertiseAddr, "advertise", "", "with --platform: address at which the other processes reach this one, if it differs from the platform's, as behind a port mapping")
	fs.BoolVar(&s.onPlatform, "platform", false, "take name, zone, addresses, data folder and peers from the users' platform")
	fs.BoolVar(&s.join, "join", false, "join an existing cluster with an empty data folder; never form a new one")
}

// Validate implements server.Program.
func (s *settings) Validate() error {
	if s.onPlatform {
		if err := s.applyPlatform(); err != nil {
			return err
		}
		return errors.Join(s.Settings.Validate(), server.CheckAddr("advertise", s.reachAddr))
	}
	errs := []error{s.Settings.Validate(), server.CheckAddr("listen", s.listenAddr)}
	if s.dataDir == "" {
		errs = append(errs, errors.New("--data is empty; set a folder on a disk"))
	}
	if s.advertiseAddr != "" {
		errs = append(errs, errors.New("--advertise needs --platform; set the address in --peers"))
	}
	if u, err := url.Parse(s.memberListURL); s.memberListURL != "" && (err != nil || u.Host == "") {
		errs = append(errs, fmt.Errorf("--members: %q is not a URL; use http://HOST:PORT/PATH", s.memberListURL))
	}
	return errors.Join(append(errs, s.parsePeers()...)...)
}

func (s *settings) parsePeers() (errs []error) {
	seen := map[string]bool{}
	for _, item := range strings.Split(s.peerList, ",") {
		name, addr, ok := strings.Cut(strings.TrimSpace(item), "=")
		switch {
		case !ok || name == "" || server.CheckAddr("peers", addr) != nil:
			errs = append(errs, fmt.Errorf("--peers: %q is not NAME=HOST:PORT", item))
			continue
		case seen[name] || seen[addr]:
			errs = append(errs, fmt.Errorf("--peers: %q repeats a name or an address", item))
		}
		seen[name], seen[addr] = true, true
		s.peers = append(s.peers, raft.Member{Name: name, Addr: addr, Voter: true})
	}
	switch {
	case len(errs) > 0:
	case s.ownAddr() == "":
		errs = append(errs, fmt.Errorf("--peers does not name this process; add %s=HOST:PORT", s.Name))
	case len(s.peers)%2 == 0:
		errs = append(errs, fmt.Errorf("--peers names %d processes; use an odd number; an even one tolerates no more losses", len(s.peers)))
	}
	return errs
}

// ownAddr returns the address at which the other processes reach this one.
func (s *settings) ownAddr() string {
	if s.onPlatform {
		return s.reachAddr
	}
	for _, p := range s.peers {
		if p.Name == s.Name {
			return p.Addr
		}
	}
	return ""
}
