// Package ident defines the named types for identities and units that all
// programs of citronledge share.
package ident

import (
	"fmt"
	"strings"
	"time"
)

// Names given by operators in the settings folder.
type (
	// Customer names a tenant; every request belongs to exactly one.
	Customer string
	// Model names a family of versions, for example "small".
	Model string
	// Version names one version of a model, for example "v2".
	Version string
	// Cascade names an ordered list of models from cheap to strong.
	Cascade string
	// Route names one route to a plain service.
	Route string
	// Service names a plain service.
	Service string
)

// Names given by the platform.
type (
	// Backend is the name of a backend server: a model runner or an instance
	// of a plain service.
	Backend string
	// Zone is the name of an availability zone.
	Zone string
	// Region is the name of a region; a region holds several zones.
	Region string
)

// Identities of requests and their parts.
type (
	// Request identifies one request of a caller. It is unique over all gates.
	Request string
	// Session identifies a caller's session within one customer.
	Session string
	// PromptPart is the hash of a service and of a part of a prompt that requests
	// may share.
	PromptPart uint64
	// Incarnation identifies one run of a gate. The ledger assigns each number
	// once; zero means that none has been assigned yet.
	Incarnation uint64
	// Sequence numbers the billable requests of one incarnation, starting at 1.
	Sequence uint64
	// Attempt numbers the attempts of one request, starting at 1. Cascade
	// steps, retries and hedges all count.
	Attempt uint32
	// Fence is a fencing number. A holder with a lower number than the current
	// one is refused.
	Fence uint64
	// Revision numbers the states of the configuration; each accepted change
	// increments it by one.
	Revision uint64
)

// Units.
type (
	// Tokens counts input or output tokens.
	Tokens int64
	// Price is the price of one token in micro-units of the billing currency.
	Price float64
	// Cost is an amount in micro-units of the billing currency.
	Cost float64
	// Quality is the expected rating of an answer, from 0 (useless) to 1.
	Quality float64
	// Share is a fraction of traffic from 0 to 1.
	Share float64
	// Rate is a number of requests per second.
	Rate float64
)

// Times that several programs must agree on.
const (
	// LeaseDuration is the validity of one grant of the configuration lease. A
	// holder may renew for 0.8 s without acknowledging a change. Together with
	// the 1.515 s of GuardedLeaseDuration, that leaves 0.685 s of the 3 s
	// within which an accepted configuration must be in force everywhere.
	LeaseDuration = 1500 * time.Millisecond
	// MaxSublease is the longest sublease that a gate grants to a side process.
	// A suspended side process delays its gate's acknowledgement for up to this
	// long, and the leader allows 0.8 s for that.
	MaxSublease = 700 * time.Millisecond
	// RenewInterval is the interval between two renewals of a lease.
	RenewInterval = 500 * time.Millisecond
	// MinLoadInterval is the shortest interval between two reports of a side
	// process about changes of its load.
	MinLoadInterval = 250 * time.Millisecond
	// LinkIdleAfter is the time without work from a gate after which a side
	// process renews and reports to that gate only every IdleRenewInterval.
	LinkIdleAfter = 5 * time.Second
	// IdleRenewInterval is the interval between two renewals on a link without
	// work.
	IdleRenewInterval = 2 * time.Second
	// MaxMissedReports is the number of missed reports after which a gate sends
	// a backend server no new work.
	MaxMissedReports = 3
	// ReportTimeout is the time for MaxMissedReports reports on a link with
	// work.
	ReportTimeout = MaxMissedReports * RenewInterval
	// LinkTimeout is the time without a message on the control stream between
	// gate and side process after which either end closes the link. The
	// keepalive of the session itself can then be equally infrequent.
	LinkTimeout = 10 * time.Second
	// HandTimeout bounds the time between sending a Hand command and calling
	// the service. Operators may settle an operation only after it has passed.
	HandTimeout = 2 * time.Second
	// MaxClockRateError is the largest relative error of a VM's clock rate.
	MaxClockRateError = 0.01
)

// GuardedLeaseDuration is how long the grantor of a lease waits before it
// treats the lease as expired: the lease duration plus the allowed clock rate
// error.
const GuardedLeaseDuration = LeaseDuration + LeaseDuration/100

// GuardedHandTimeout is the time after a Hand command from which no side
// process makes the call any more, whatever the rate of its clock.
const GuardedHandTimeout = HandTimeout + HandTimeout/100

// Target is a model and one of its versions. Where a setting allows it, an
// empty Version stands for any version; the target of a running request always
// has one.
type Target struct {
	Model   Model
	Version Version
}

// String returns "model/version", or only the model if the version is empty.
func (t Target) String() string {
	if t.Version == "" {
		return string(t.Model)
	}
	return string(t.Model) + "/" + string(t.Version)
}

// ParseTarget parses "model" or "model/version".
func ParseTarget(s string) (Target, error) {
	model, version, found := strings.Cut(s, "/")
	if model == "" || (found && version == "") || strings.Contains(version, "/") {
		return Target{}, fmt.Errorf("%q is not a model or model/version", s)
	}
	return Target{Model: Model(model), Version: Version(version)}, nil
}

// BillKey identifies a bill. Each request has one, whatever the number of its
// attempts.
type BillKey struct {
	Incarnation Incarnation
	Sequence    Sequence
}

// Kind is the kind of work of a request. It determines the expected length of
// the request and the rules that apply to it.
type Kind uint8

// Kinds of work.
const (
	// Chat is a short, interactive request to a model.
	Chat Kind = iota + 1
	// Report is a long request to a model.
	Report
	// Call is a request to a plain service.
	Call
)

// Lookup is the kind of work that asks a plain service whether an operation
// ran. Callers cannot request it.
const Lookup = "lookup"

// String returns the name used in settings, logs and metrics.
func (k Kind) String() string {
	switch k {
	case Chat:
		return "chat"
	case Report:
		return "report"
	case Call:
		return "call"
	}
	return "unknown"
}
