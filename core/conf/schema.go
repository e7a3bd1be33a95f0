// Package conf is the configuration of citronledge: the operators' settings folder
// and the typed View of the replicated configuration, on which every process bases
// its decisions.
package conf

import (
	"time"

	"citronledge.example/core/ident"
)

// Prefixes of the keys of the replicated configuration, and whole keys. The
// operators' settings folder sets the first group; commands and the platform's
// member list set the others.
const (
	CustomersPrefix = "customers/"
	ModelsPrefix    = "models/"
	CascadesPrefix  = "cascades/"
	RoutesPrefix    = "routes/"
	LimitsKey       = "limits"

	RolloutsPrefix  = "rollouts/"
	WithdrawnPrefix = "withdrawn/"
	MembersPrefix   = "members/"

	// DocumentKey holds the document that operators replace as a whole.
	DocumentKey = "document"
	// ServiceRolloutsPrefix precedes the service of a service rollout.
	ServiceRolloutsPrefix = "shifts/"
	// EvacuationsPrefix precedes the zone of an evacuation. The key is deleted when
	// the evacuation ends.
	EvacuationsPrefix = "evacuations/"
)

// Customer is a tenant.
type Customer struct {
	// Weight is the customer's share of capacity relative to other customers; 0
	// means 1.
	Weight int `json:"weight,omitempty"`
	// KeyDigests are the hex SHA-256 digests of the bearer keys; several of them
	// allow rotation.
	KeyDigests []string `json:"keys"`
	// Models are the targets that the customer may use, "model" or "model/version".
	Models []string `json:"models,omitempty"`
	// Routes are the routes to plain services that the customer may use.
	Routes []string `json:"routes,omitempty"`
	// Cascade serves requests for the model "auto".
	Cascade ident.Cascade `json:"cascade,omitempty"`
	// RequestsPerSecond is the rate limit; 0 means none.
	RequestsPerSecond float64 `json:"rate,omitempty"`
	// Burst is the number of requests admitted at once above the rate; 0 means
	// RequestsPerSecond, but at least 1.
	Burst int `json:"burst,omitempty"`
}

// Model is a model with its versions.
type Model struct {
	// InputPrice and OutputPrice are the prices of one token in micro-units.
	InputPrice  ident.Price `json:"input"`
	OutputPrice ident.Price `json:"output"`
	// PriorQuality is the expected quality before there are any ratings.
	PriorQuality ident.Quality `json:"quality"`
	// Versions are the versions that may serve. The last one is preferred for new
	// sessions while no rollout is in progress.
	Versions []ident.Version `json:"versions"`
}

// Cascade is an ordered list of models from cheap to strong.
type Cascade struct {
	Steps []ident.Model `json:"steps"`
	// TargetQuality is the quality that answers should have on average.
	TargetQuality ident.Quality `json:"target"`
}

// Route is a path prefix that leads to a plain service.
type Route struct {
	PathPrefix string        `json:"path"`
	Methods    []string      `json:"methods"`
	Service    ident.Service `json:"service"`
	// Repeatable calls may be retried. Other calls need an idempotency key and run
	// at most once.
	Repeatable bool `json:"repeatable,omitempty"`
	// BusinessKeyFields names the fields of the JSON body that together identify
	// the operation, so that it cannot run twice under two idempotency keys.
	BusinessKeyFields []string `json:"business,omitempty"`
	// LookupPath is a path of the service that answers 200 if the operation with
	// the appended key ran, and 404 with the JSON body {"ran": false} if it did
	// not. It is empty if the service has none.
	LookupPath string `json:"lookup,omitempty"`
	// TimeoutMillis is the timeout of a call; 0 means Limits.CallTimeoutMillis.
	TimeoutMillis int `json:"timeout,omitempty"`
}

// Limits are the limits of the whole system. A zero field means its default.
type Limits struct {
	// MaxBodyBytes is the size of the largest request body.
	MaxBodyBytes int `json:"body,omitempty"`
	// MaxQueued is the largest number of queued requests in one gate.
	MaxQueued int `json:"queue,omitempty"`
	// LongWorkShare is the share of a backend server's slots that long work may
	// occupy.
	LongWorkShare float64 `json:"long,omitempty"`
	// ReportMinTokens is the number of requested output tokens from which a request
	// counts as a report, that is, as long work.
	ReportMinTokens ident.Tokens `json:"report,omitempty"`
	// ChatTimeoutMillis, ReportTimeoutMillis and CallTimeoutMillis are the timeouts
	// of the kinds of requests.
	ChatTimeoutMillis   int `json:"chat,omitempty"`
	ReportTimeoutMillis int `json:"reports,omitempty"`
	CallTimeoutMillis   int `json:"call,omitempty"`
	// ExtraWorkShare is the largest share of extra work that retries and hedges may
	// cause.
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

// WithDefaults returns the limits with zero fields set to their defaults.
func (l Limits) WithDefaults() Limits {
	setIntDefault(&l.MaxBodyBytes, DefaultMaxBodyBytes)
	setIntDefault(&l.MaxQueued, DefaultMaxQueued)
	setIntDefault(&l.ChatTimeoutMillis, DefaultChatTimeoutMillis)
	setIntDefault(&l.ReportTimeoutMillis, DefaultReportTimeoutMillis)
	setIntDefault(&l.CallTimeoutMillis, DefaultCallTimeoutMillis)
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

func setIntDefault(p *int, v int) {
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

// Phase is the phase of a rollout.
type Phase string

// Phases of a rollout; rollout.yaml holds the state chart.
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
	// Steps are the increasing shares of new sessions that get the version To.
	Steps []ident.Share `json:"steps"`
	// StepIndex is the index of the current step.
	StepIndex int   `json:"step"`
	Phase     Phase `json:"phase"`
	// AutoAdvance lets the leader advance to the next step, and finish, without an
	// operator.
	AutoAdvance bool `json:"auto,omitempty"`
	// Reason says why the rollout is halted, reverted or waiting.
	Reason string `json:"reason,omitempty"`
	// TestCount is the number of tests that leaders have begun, one for each step
	// and leader. The error probability of a false halt is divided among them.
	TestCount int `json:"trials,omitempty"`
}

// Share returns the current share of new sessions that get the version To.
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

// Presence is the state of a member in the platform's member list.
type Presence string

// States of a member.
const (
	MemberLive    Presence = "live"
	MemberLeaving Presence = "leaving"
)

// Member is a backend server from the platform's member list.
type Member struct {
	// Addr is the address of the side process.
	Addr     string        `json:"addr"`
	Zone     ident.Zone    `json:"zone"`
	Presence Presence      `json:"presence"`
	Service  ident.Service `json:"service,omitempty"`
	// Models are the models that it was provisioned for, a hint for choosing the
	// subset of backend servers.
	Models []ident.Model `json:"models,omitempty"`
}
