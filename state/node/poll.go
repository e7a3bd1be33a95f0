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
	"citronledge.example/core/wire"
)

const (
	pollTime = 900 * time.Millisecond
	// mostList bounds the body of the list: 4,600 members of 300 bytes take
	// 1.4 MB.
	mostList = 8 << 20 // bytes
	// goneAfter is how long a member must be missing from the list before it
	// is gone. The list lags and may be incomplete for a moment.
	goneAfter = 10 * time.Second
	// mostEntries bounds one Members command.
	mostEntries = 500
)

// listed is one member in the platform's list.
type listed struct {
	Name    string        `json:"name"`
	Addr    string        `json:"addr"`
	Zone    ident.Zone    `json:"zone"`
	State   conf.Presence `json:"state"`
	Service ident.Service `json:"service"`
	Models  []ident.Model `json:"models"`
}

// pollMembers reads the list and commits what has changed. A list that cannot
// be read, or that is empty, changes nothing.
func (n *Node) pollMembers(ctx context.Context, e *epoch) {
	list, err := fetch(ctx, n.members)
	if err != nil {
		n.metrics.polls.WithLabelValues("failed").Inc()
		klog.V(1).InfoS("List of members not read", "err", err)
		return
	}
	n.metrics.polls.WithLabelValues("read").Inc()
	entries := n.differences(e, list, time.Now())
	for len(entries) > 0 {
		part := entries[:min(len(entries), mostEntries)]
		entries = entries[len(part):]
		c := &wire.Command{Actor: n.link.Name, Kind: &wire.Command_Members{Members: &wire.Members{Entries: part}}}
		r, err := n.propose(ctx, c)
		if err != nil || r.GetFault() != nil {
			klog.InfoS("Members not committed", "err", err, "fault", r.GetFault().GetMessage())
			return
		}
		klog.InfoS("Members changed", "entries", len(part), "revision", r.GetChanged().GetRevision())
	}
}

func fetch(ctx context.Context, url string) ([]listed, error) {
	ctx, cancel := context.WithTimeout(ctx, pollTime)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return nil, eris.Wrap(err, "the URL of the list of members is not valid")
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return nil, err
	}
	defer func() { _ = resp.Body.Close() }()
	if resp.StatusCode != http.StatusOK {
		return nil, eris.Errorf("the list of members answers %s", resp.Status)
	}
	body, err := io.ReadAll(io.LimitReader(resp.Body, mostList+1))
	if err != nil {
		return nil, err
	}
	if len(body) > mostList {
		return nil, eris.Errorf("the list of members is over %d bytes", mostList)
	}
	var list []listed
	if err := json.Unmarshal(body, &list); err != nil {
		return nil, eris.Wrap(err, "the list of members is not JSON of the expected form")
	}
	if len(list) == 0 {
		// Losing every backend server at once is less likely than a fault of
		// the list; their own reports still stop new work.
		return nil, eris.New("the list of members is empty")
	}
	return list, nil
}

// differences compares the list with the members on record.
func (n *Node) differences(e *epoch, list []listed, now time.Time) []*wire.Entry {
	old := map[string][]byte{}
	for _, x := range n.ledger.Delta(0).GetEntries() {
		if strings.HasPrefix(x.GetKey(), conf.MembersPrefix) {
			old[x.GetKey()] = x.GetValue()
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
			klog.V(1).InfoS("Member in the list is not valid; its last state stays", "member", m.Name, "state", m.State)
			continue
		}
		value, err := json.Marshal(conf.Member{Addr: m.Addr, Zone: m.Zone, Presence: m.State, Service: m.Service, Models: m.Models})
		if err == nil && !bytes.Equal(value, old[key]) {
			entries = append(entries, &wire.Entry{Key: key, Value: value})
		}
	}
	return append(entries, e.vanished(old, present, now)...)
}

// vanished returns the members that were missing for long enough. Only the
// leader's tasks use Node.epoch.missing, so it needs no lock.
func (e *epoch) vanished(old map[string][]byte, present map[string]bool, now time.Time) []*wire.Entry {
	var entries []*wire.Entry
	for key := range e.missing {
		if _, known := old[key]; !known || present[key] {
			delete(e.missing, key)
		}
	}
	for key := range old {
		if present[key] {
			continue
		}
		since, ok := e.missing[key]
		switch {
		case !ok:
			e.missing[key] = now
		case now.Sub(since) >= goneAfter:
			entries = append(entries, &wire.Entry{Key: key, Gone: true})
		}
	}
	return entries
}
