package node

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"strings"
	"time"

	"github.com/rotisserie/eris"
	"k8s.io/klog/v2"

	"citronledge.example/core/conf"
	"citronledge.example/core/ident"
	"citronledge.example/core/reply"
	"citronledge.example/core/wire"
)

const (
	pollTimeout = 900 * time.Millisecond
	// maxListBytes limits the body of the list: 4,600 members of 300 bytes take
	// 1.4 MB.
	maxListBytes = 8 << 20
	// memberGoneAfter is how long a member must be missing from the list before
	// it is recorded as gone. The list lags and may be incomplete for a moment.
	memberGoneAfter = 10 * time.Second
	// maxEntriesPerCommand limits one Members command.
	maxEntriesPerCommand = 500
)

// listedMember is one member in the platform's list.
type listedMember struct {
	Name    string        `json:"name"`
	Addr    string        `json:"addr"`
	Zone    ident.Zone    `json:"zone"`
	State   conf.Presence `json:"state"`
	Service ident.Service `json:"service"`
	Models  []ident.Model `json:"models"`
}

// pollMembers fetches the list and commits what has changed. A list that cannot
// be fetched, or that is empty, changes nothing.
func (n *Node) pollMembers(ctx context.Context, e *epoch) {
	list, err := fetchMembers(ctx, n.memberListURL)
	if err != nil {
		n.metrics.polls.WithLabelValues("failed").Inc()
		klog.V(1).InfoS("Cannot fetch the list of members", "err", err)
		return
	}
	n.metrics.polls.WithLabelValues("read").Inc()
	entries := n.memberChanges(e, list, time.Now())
	for len(entries) > 0 {
		part := entries[:min(len(entries), maxEntriesPerCommand)]
		entries = entries[len(part):]
		c := &wire.Command{Actor: n.link.Name, Kind: &wire.Command_Members{Members: &wire.Members{Entries: part}}}
		r, err := n.propose(ctx, c)
		if err != nil || r.GetFault() != nil {
			klog.InfoS("Changes of members not committed", "err", err, "fault", r.GetFault().GetMessage())
			return
		}
		klog.InfoS("Members changed", "entries", len(part), "revision", r.GetChanged().GetRevision())
	}
}

func fetchMembers(ctx context.Context, url string) ([]listedMember, error) {
	ctx, cancel := context.WithTimeout(ctx, pollTimeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return nil, eris.Wrap(err, "the URL of the list of members is not valid")
	}
	resp, err := reply.DefaultClient.Do(req)
	if err != nil {
		return nil, err
	}
	defer func() { _ = resp.Body.Close() }()
	if resp.StatusCode != http.StatusOK {
		return nil, eris.Errorf("the list of members answers %s", resp.Status)
	}
	body, err := io.ReadAll(io.LimitReader(resp.Body, maxListBytes+1))
	if err != nil {
		return nil, err
	}
	if len(body) > maxListBytes {
		return nil, eris.Errorf("the list of members is over %d bytes", maxListBytes)
	}
	var list []listedMember
	if err := json.Unmarshal(body, &list); err != nil {
		return nil, eris.Wrap(err, "the list of members is not JSON of the expected form")
	}
	if len(list) == 0 {
		// Losing all backend servers at once is less likely than a faulty list;
		// their own reports still stop new work.
		return nil, eris.New("the list of members is empty")
	}
	return list, nil
}

// memberChanges returns the changes that make the recorded members equal to the
// list.
func (n *Node) memberChanges(e *epoch, list []listedMember, now time.Time) []*wire.Entry {
	recorded := map[string][]byte{}
	for _, x := range n.ledger.Delta(0).GetEntries() {
		if strings.HasPrefix(x.GetKey(), conf.MembersPrefix) {
			recorded[x.GetKey()] = x.GetValue()
		}
	}
	var entries []*wire.Entry
	present := map[string]bool{}
	for _, m := range list {
		key := conf.MembersPrefix + m.Name
		if m.Name == "" || present[key] {
			continue
		}
		present[key] = true
		if m.Addr == "" || (m.State != conf.MemberLive && m.State != conf.MemberLeaving) {
			klog.V(1).InfoS("Member in the list is not valid; keeping its last state", "member", m.Name, "state", m.State)
			continue
		}
		value, err := json.Marshal(conf.Member{Addr: m.Addr, Zone: m.Zone, Presence: m.State, Service: m.Service, Models: m.Models})
		if err == nil && !bytes.Equal(value, recorded[key]) {
			entries = append(entries, &wire.Entry{Key: key, Value: value})
		}
	}
	return append(entries, e.goneMembers(recorded, present, now)...)
}

// goneMembers returns the removal of the members that have been missing for
// memberGoneAfter. Only the leader's tasks use epoch.missingSince, so it needs
// no lock.
func (e *epoch) goneMembers(recorded map[string][]byte, present map[string]bool, now time.Time) []*wire.Entry {
	var entries []*wire.Entry
	for key := range e.missingSince {
		if _, known := recorded[key]; !known || present[key] {
			delete(e.missingSince, key)
		}
	}
	for key := range recorded {
		if present[key] {
			continue
		}
		since, ok := e.missingSince[key]
		switch {
		case !ok:
			e.missingSince[key] = now
		case now.Sub(since) >= memberGoneAfter:
			entries = append(entries, &wire.Entry{Key: key, Gone: true})
		}
	}
	return entries
}
