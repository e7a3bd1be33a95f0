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
	listen  string
	data    string
	peers   []raft.Member
	members string
	join    bool

	list   string // peers as given
	hosted bool
	// advertise is the address at which the others reach this process on the
	// users' platform, if it is not listen; reach is the one that counts.
	advertise, reach string
	site             *site // set on the users' platform
}

// Register implements server.Program.
func (s *settings) Register(fs *flag.FlagSet) {
	s.Settings.Register(fs)
	fs.StringVar(&s.listen, "listen", "127.0.0.1:7400", "address for sessions of the other processes")
	fs.StringVar(&s.data, "data", "", "data folder of this process, on a disk")
	fs.StringVar(&s.list, "peers", "", "all state processes with this one: NAME=HOST:PORT,...")
	fs.StringVar(&s.members, "members", "", "URL of the platform's list of members; empty for none")
	fs.StringVar(&s.advertise, "advertise", "", "with --platform: address at which the other processes reach this one, if it differs from the platform's, as behind a port mapping")
	fs.BoolVar(&s.hosted, "platform", false, "take name, zone, addresses, data folder and peers from the users' platform")
	fs.BoolVar(&s.join, "join", false, "join an existing cluster with an empty data folder; never form a new one")
}

// Validate implements server.Program.
func (s *settings) Validate() error {
	if s.hosted {
		if err := s.apply(); err != nil {
			return err
		}
		return errors.Join(s.Settings.Validate(), server.CheckAddr("advertise", s.reach))
	}
	errs := []error{s.Settings.Validate(), server.CheckAddr("listen", s.listen)}
	if s.data == "" {
		errs = append(errs, errors.New("--data is empty; set a folder on a disk"))
	}
	if s.advertise != "" {
		errs = append(errs, errors.New("--advertise holds with --platform only; set the address in --peers"))
	}
	if u, err := url.Parse(s.members); s.members != "" && (err != nil || u.Host == "") {
		errs = append(errs, fmt.Errorf("--members: %q is not a URL; use http://HOST:PORT/PATH", s.members))
	}
	return errors.Join(append(errs, s.parsePeers()...)...)
}

func (s *settings) parsePeers() (errs []error) {
	seen := map[string]bool{}
	for _, item := range strings.Split(s.list, ",") {
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
	case s.address() == "":
		errs = append(errs, fmt.Errorf("--peers does not name this process; add %s=HOST:PORT", s.Name))
	case len(s.peers)%2 == 0:
		errs = append(errs, fmt.Errorf("--peers names %d processes; use an odd number, as an even one survives no more losses", len(s.peers)))
	}
	return errs
}

// address returns the address at which the others reach this process.
func (s *settings) address() string {
	if s.hosted {
		return s.reach
	}
	for _, p := range s.peers {
		if p.Name == s.Name {
			return p.Addr
		}
	}
	return ""
}
