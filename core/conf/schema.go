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
	CustomersPrefix = "customers/"
	ModelsPrefix    = "models/"
	CascadesPrefix  = "cascades/"
	RoutesPrefix    = "routes/"
	LimitsKey       = "limits"

	RolloutsPrefix  = "rollouts/"
	WithdrawnPrefix = "withdrawn/"
	MembersPrefix   = "members/"

	// DocumentKey is the key of the document that operators replace as a whole.
	DocumentKey = "document"
	// ServiceRolloutsPrefix are the roll-outs of services' versions.
	ServiceRolloutsPrefix = "shifts/"
)

// Customer is a tenant.
type Customer struct {
	// Weight is the share of capacity relative to other customers; 0 means 1.
	Weight int `json:"weight,omitempty"`
	// KeyDigests are hex SHA-256 digests of the bearer keys; several allow rotation.
	KeyDigests []string `json:"keys"`
	// Models are the allowed targets, "model" or "model/version".
	Models []string `json:"models,omitempty"`
	// Routes are the allowed routes to plain services.
	Routes []string `json:"routes,omitempty"`
	// Cascade is used for requests that name the model "auto".
	Cascade ident.Cascade `json:"cascade,omitempty"`
	// RequestsPerSecond bounds the requests per second; 0 means no bound.
	RequestsPerSecond float64 `json:"rate,omitempty"`
	// Burst is the number of requests above the rate; 0 means Rate.
	Burst int `json:"burst,omitempty"`
}

// Model is a model with its versions.
type Model struct {
	// InputPrice and Output are prices of one token in micro-units.
	InputPrice  ident.Price `json:"input"`
	OutputPrice ident.Price `json:"output"`
	// PriorQuality is the expected quality before any rating has come.
	PriorQuality ident.Quality `json:"quality"`
	// Versions that may serve; the last is the preferred one for new
	// sessions while no roll-out is under way.
	Versions []ident.Version `json:"versions"`
}

// Cascade is an ordered list of models from cheap to strong.
type Cascade struct {
	Steps []ident.Model `json:"steps"`
	// TargetQuality is the quality that an answer should have on average.
	TargetQuality ident.Quality `json:"target"`
}

// Route is a path prefix that leads to a plain service.
type Route struct {
	PathPrefix string        `json:"path"`
	Methods    []string      `json:"methods"`
	Service    ident.Service `json:"service"`
	// Repeatable calls may be retried. Others need an idempotency key and run
	// at most once.
	Repeatable bool `json:"repeatable,omitempty"`
	// BusinessKeyFields names the fields of the JSON body that together identify the
	// operation, so that two idempotency keys cannot run it twice.
	BusinessKeyFields []string `json:"business,omitempty"`
	// LookupPath is a path at the service that answers 200 if the operation with
	// the appended key ran, and 404 with the JSON body {"ran": false} if it did
	// not; empty if none.
	LookupPath string `json:"lookup,omitempty"`
	// TimeoutMillis in milliseconds; 0 means the limit for calls.
	TimeoutMillis int `json:"timeout,omitempty"`
}

// Limits bounds the whole system. Zero fields take the default.
type Limits struct {
	// MaxBodyBytes is the largest request body in bytes.
	MaxBodyBytes int `json:"body,omitempty"`
	// MaxQueued is the largest number of waiting requests in one gate.
	MaxQueued int `json:"queue,omitempty"`
	// LongWorkShare is the share of a backend server's slots for long work.
	LongWorkShare float64 `json:"long,omitempty"`
	// ReportMinTokens is the number of requested output tokens from which a request
	// counts as a report, that is, as long work.
	ReportMinTokens ident.Tokens `json:"report,omitempty"`
	// ChatTimeoutMillis, Reports and Call are the timeouts of the kinds in milliseconds.
	ChatTimeoutMillis   int `json:"chat,omitempty"`
	ReportTimeoutMillis int `json:"reports,omitempty"`
	CallTimeoutMillis   int `json:"call,omitempty"`
	// ExtraWorkShare is the largest share of additional work by retries and hedges.
	ExtraWorkShare float64 `json:"extra,omitempty"`
}

// Defaults of Limits.
const (
	DefaultMaxBodyBytes        = 1 << 20 // bytes
	DefaultMaxQueued           = 1000    // requests
	DefaultLongWorkShare       = 0.5
	DefaultReportMinTokens     = 1500   // tokens
	DefaultChatTimeoutMillis   = 30_000 // ms
	DefaultReportTimeoutMillis = 300_000
	DefaultCallTimeoutMillis   = 10_000
	DefaultExtraWorkShare      = 0.05
)

// WithDefaults fills the zero fields.
func (l Limits) WithDefaults() Limits {
	setInt(&l.MaxBodyBytes, DefaultMaxBodyBytes)
	setInt(&l.MaxQueued, DefaultMaxQueued)
	setInt(&l.ChatTimeoutMillis, DefaultChatTimeoutMillis)
	setInt(&l.ReportTimeoutMillis, DefaultReportTimeoutMillis)
	setInt(&l.CallTimeoutMillis, DefaultCallTimeoutMillis)
	if l.LongWorkShare == 0 {
		l.LongWorkShare = DefaultLongWorkShare
	}
	if l.ReportMinTokens == 0 {
		l.ReportMinTokens = DefaultReportMinTokens
	}
	if l.ExtraWorkShare == 0 {
		l.ExtraWorkShare = DefaultExtraWorkShare
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
	ms := l.ChatTimeoutMillis
	switch k {
	case ident.Report:
		ms = l.ReportTimeoutMillis
	case ident.Call:
		ms = l.CallTimeoutMillis
	}
	return time.Duration(ms) * time.Millisecond
}

// Phase is the phase of a roll-out.
type Phase string

// Phases of a roll-out; rollout.yaml holds the chart.
const (
	RolloutRunning  Phase = "running"
	RolloutHalted   Phase = "halted"
	RolloutFinished Phase = "finished"
	RolloutReverted Phase = "reverted"
)

// Rollout moves new sessions of a model from one version to another.
type Rollout struct {
	From ident.Version `json:"from"`
	To   ident.Version `json:"to"`
	// Steps are growing shares of new sessions that get the version To.
	Steps []ident.Share `json:"steps"`
	// StepIndex is the index of the step in force.
	StepIndex int   `json:"step"`
	Phase     Phase `json:"phase"`
	// AutoAdvance lets the leader go to the next step, and finish, by itself.
	AutoAdvance bool `json:"auto,omitempty"`
	// Reason tells why the roll-out is halted or reverted, or why it waits.
	Reason string `json:"reason,omitempty"`
	// TestCount counts the tests begun by leaders, one for each step and leader.
	// They divide the error of a false halt.
	TestCount int `json:"trials,omitempty"`
}

// Share returns the share of new sessions that get the version To.
func (r Rollout) Share() ident.Share {
	switch r.Phase {
	case RolloutRunning:
		if r.StepIndex >= 0 && r.StepIndex < len(r.Steps) {
			return r.Steps[r.StepIndex]
		}
	case RolloutFinished:
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
	MemberLive    Presence = "live"
	MemberLeaving Presence = "leaving"
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
