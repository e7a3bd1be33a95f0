// Package conf is the configuration of citronledge: the settings folder of
// the operators and the typed View of the replicated configuration that every
// process decides by.
package conf

import (
	"time"

	"citronledge.example/core/ident"
)

// Prefixes of the keys of the replicated configuration. The folder of the
// operators owns the first group, commands own the second.
const (
	Customers = "customers/"
	Models    = "models/"
	Cascades  = "cascades/"
	Routes    = "routes/"
	Limited   = "limits"

	Rollouts  = "rollouts/"
	Withdrawn = "withdrawn/"
	Members   = "members/"

	// Documented is the key of the document that operators replace as a whole.
	Documented = "document"
	// Shifts are the roll-outs of services' versions.
	Shifts = "shifts/"
)

// Customer is a tenant.
type Customer struct {
	// Weight is the share of capacity relative to other customers; 0 means 1.
	Weight int `json:"weight,omitempty"`
	// Keys are hex SHA-256 digests of the bearer keys; several allow rotation.
	Keys []string `json:"keys"`
	// Models are the allowed targets, "model" or "model/version".
	Models []string `json:"models,omitempty"`
	// Routes are the allowed routes to plain services.
	Routes []string `json:"routes,omitempty"`
	// Cascade is used for requests that name the model "auto".
	Cascade ident.Cascade `json:"cascade,omitempty"`
	// Rate bounds the requests per second; 0 means no bound.
	Rate float64 `json:"rate,omitempty"`
	// Burst is the number of requests above the rate; 0 means Rate.
	Burst int `json:"burst,omitempty"`
}

// Model is a model with its versions.
type Model struct {
	// Input and Output are prices of one token in micro-units.
	Input  ident.Price `json:"input"`
	Output ident.Price `json:"output"`
	// Quality is the expected quality before any rating has come.
	Quality ident.Quality `json:"quality"`
	// Versions that may serve; the last is the preferred one for new
	// sessions while no roll-out is under way.
	Versions []ident.Version `json:"versions"`
}

// Cascade is an ordered list of models from cheap to strong.
type Cascade struct {
	Steps []ident.Model `json:"steps"`
	// Target is the quality that an answer should have on average.
	Target ident.Quality `json:"target"`
}

// Route is a path prefix that leads to a plain service.
type Route struct {
	Path    string        `json:"path"`
	Methods []string      `json:"methods"`
	Service ident.Service `json:"service"`
	// Repeatable calls may be retried. Others need an idempotency key and run
	// at most once.
	Repeatable bool `json:"repeatable,omitempty"`
	// Business names the fields of the JSON body that together identify the
	// operation, so that two idempotency keys cannot run it twice.
	Business []string `json:"business,omitempty"`
	// Lookup is a path at the service that answers 200 if the operation with
	// the appended key ran, and 404 with the JSON body {"ran": false} if it did
	// not; empty if none.
	Lookup string `json:"lookup,omitempty"`
	// Timeout in milliseconds; 0 means the limit for calls.
	Timeout int `json:"timeout,omitempty"`
}

// Limits bounds the whole system. Zero fields take the default.
type Limits struct {
	// Body is the largest request body in bytes.
	Body int `json:"body,omitempty"`
	// Queue is the largest number of waiting requests in one gate.
	Queue int `json:"queue,omitempty"`
	// Long is the share of a backend server's slots for long work.
	Long float64 `json:"long,omitempty"`
	// Report is the number of requested output tokens from which a request
	// counts as a report, that is, as long work.
	Report ident.Tokens `json:"report,omitempty"`
	// Chat, Reports and Call are the timeouts of the kinds in milliseconds.
	Chat    int `json:"chat,omitempty"`
	Reports int `json:"reports,omitempty"`
	Call    int `json:"call,omitempty"`
	// Extra is the largest share of additional work by retries and hedges.
	Extra float64 `json:"extra,omitempty"`
}

// Defaults of Limits.
const (
	DefaultBody    = 1 << 20 // bytes
	DefaultQueue   = 1000    // requests
	DefaultLong    = 0.5
	DefaultReport  = 1500   // tokens
	DefaultChat    = 30_000 // ms
	DefaultReports = 300_000
	DefaultCall    = 10_000
	DefaultExtra   = 0.05
)

// WithDefaults fills the zero fields.
func (l Limits) WithDefaults() Limits {
	setInt(&l.Body, DefaultBody)
	setInt(&l.Queue, DefaultQueue)
	setInt(&l.Chat, DefaultChat)
	setInt(&l.Reports, DefaultReports)
	setInt(&l.Call, DefaultCall)
	if l.Long == 0 {
		l.Long = DefaultLong
	}
	if l.Report == 0 {
		l.Report = DefaultReport
	}
	if l.Extra == 0 {
		l.Extra = DefaultExtra
	}
	return l
}

func setInt(p *int, v int) {
	if *p == 0 {
		*p = v
	}
}

// Timeout returns the longest time that a request of a kind may take.
func (l Limits) Timeout(k ident.Kind) time.Duration {
	ms := l.Chat
	switch k {
	case ident.Report:
		ms = l.Reports
	case ident.Call:
		ms = l.Call
	}
	return time.Duration(ms) * time.Millisecond
}

// Phase is the phase of a roll-out.
type Phase string

// Phases of a roll-out; rollout.yaml holds the chart.
const (
	Running  Phase = "running"
	Halted   Phase = "halted"
	Finished Phase = "finished"
	Reverted Phase = "reverted"
)

// Rollout moves new sessions of a model from one version to another.
type Rollout struct {
	From ident.Version `json:"from"`
	To   ident.Version `json:"to"`
	// Steps are growing shares of new sessions that get the version To.
	Steps []ident.Share `json:"steps"`
	// Step is the index of the step in force.
	Step  int   `json:"step"`
	Phase Phase `json:"phase"`
	// Auto lets the leader go to the next step, and finish, by itself.
	Auto bool `json:"auto,omitempty"`
	// Reason tells why the roll-out is halted or reverted, or why it waits.
	Reason string `json:"reason,omitempty"`
	// Trials counts the tests begun by leaders, one for each step and leader.
	// They divide the error of a false halt.
	Trials int `json:"trials,omitempty"`
}

// Share returns the share of new sessions that get the version To.
func (r Rollout) Share() ident.Share {
	switch r.Phase {
	case Running:
		if r.Step >= 0 && r.Step < len(r.Steps) {
			return r.Steps[r.Step]
		}
	case Finished:
		return 1
	}
	return 0
}

// Withdrawal takes a version out of service for new chats and reports.
type Withdrawal struct {
	Reason string `json:"reason,omitempty"`
}

// Presence is the state of a member in the platform's list.
type Presence string

// States of a member.
const (
	Live    Presence = "live"
	Leaving Presence = "leaving"
)

// Member is a backend server from the platform's list.
type Member struct {
	// Addr is the address of its side process.
	Addr     string        `json:"addr"`
	Zone     ident.Zone    `json:"zone"`
	Presence Presence      `json:"presence"`
	Service  ident.Service `json:"service,omitempty"`
	// Models that it was provisioned for; a hint for choosing the subset.
	Models []ident.Model `json:"models,omitempty"`
}
