// Package roster is a stand-in for the platform's list of live and leaving
// VMs, which is served with a delay.
package roster

import (
	"encoding/json"
	"net/http"
	"sync"
	"time"
)

// Member is one entry of the list.
type Member struct {
	Name    string   `json:"name"`
	Addr    string   `json:"addr"`
	Zone    string   `json:"zone"`
	State   string   `json:"state"` // live or leaving
	Service string   `json:"service,omitempty"`
	Models  []string `json:"models,omitempty"`
}

type snapshot struct {
	at   time.Time
	list []Member
}

// MemberList is an http.Handler: GET returns the list as it was one lag
// earlier; PUT replaces it.
type MemberList struct {
	lag time.Duration

	mu      sync.Mutex
	history []snapshot
}

// New returns an empty list.
func New(lag time.Duration) *MemberList {
	return &MemberList{lag: lag, history: []snapshot{{list: []Member{}}}}
}

// Replace replaces the list; Members returns it after the lag.
func (m *MemberList) Replace(list []Member) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.history = append(m.history, snapshot{at: time.Now(), list: list})
}

// Members returns the list as it was one lag earlier.
func (m *MemberList) Members() []Member {
	m.mu.Lock()
	defer m.mu.Unlock()
	old := time.Now().Add(-m.lag)
	for len(m.history) > 1 && !m.history[1].at.After(old) {
		m.history = m.history[1:]
	}
	return m.history[0].list
}

// ServeHTTP implements http.Handler.
func (m *MemberList) ServeHTTP(w http.ResponseWriter, req *http.Request) {
	switch req.Method {
	case http.MethodGet:
		w.Header().Set("Content-Type", "application/json")
		_ = json.NewEncoder(w).Encode(m.Members())
	case http.MethodPut:
		list := []Member{}
		if err := json.NewDecoder(req.Body).Decode(&list); err != nil {
			http.Error(w, "list is not valid JSON", http.StatusBadRequest)
			return
		}
		m.Replace(list)
		w.WriteHeader(http.StatusNoContent)
	default:
		http.Error(w, "use GET or PUT", http.StatusMethodNotAllowed)
	}
}
