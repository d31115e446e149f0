// Package pool gives out the places at targets. One host, the home, decides
// for all; the others ask it and report what became of their requests.
package pool

import (
	"time"

	"github.com/bluebellseam/bluebellseam/internal/systems/place"
	"github.com/bluebellseam/bluebellseam/internal/tables"
)

// Messages between a host and the home.
const (
	methodAsk    = "pool.ask"
	methodReport = "pool.report"
	methodAdopt  = "pool.adopt"
	// methodLearned carries place.Learned, for the next home.
	methodLearned = "pool.learned"
)

// askMessage asks for a place. Times are durations in milliseconds from the
// sending on, so that clocks need not agree.
type askMessage struct {
	ID       place.ID          `json:"id"`
	Request  string            `json:"rq"`
	Host     tables.HostID     `json:"h"`
	Domain   tables.DomainID   `json:"d"`
	Service  tables.ServiceID  `json:"s"`
	Customer tables.CustomerID `json:"c,omitempty"`
	Tier     int               `json:"t"`
	Urgency  int               `json:"y,omitempty"`
	Prompt   int               `json:"p,omitempty"`
	// Tokens counts against the quota of the customer.
	Tokens int   `json:"q,omitempty"`
	AimMS  int64 `json:"a"`
	GapMS  int64 `json:"g,omitempty"`
	// HoldMS is how long the ask may wait for a place at all.
	HoldMS int64             `json:"w"`
	Avoid  []tables.TargetID `json:"x,omitempty"`
	// Content is equal for requests of equal content.
	Content tables.Fingerprint `json:"f,omitempty"`
	// Repeat is true for each ask after the first of a request.
	Repeat bool `json:"r,omitempty"`
}

// grantMessage answers an ask with a place.
type grantMessage struct {
	Target     tables.TargetID `json:"t"`
	ExpectedMS int64           `json:"e"`
}

// reportMessage tells what became of grants.
type reportMessage struct {
	Firsts []firstReport `json:"f,omitempty"`
	Ends   []endReport   `json:"e,omitempty"`
}

type firstReport struct {
	ID     place.ID `json:"id"`
	TookMS float64  `json:"ms"`
}

type endReport struct {
	ID      place.ID         `json:"id"`
	Service tables.ServiceID `json:"s"`
	Outcome place.Outcome    `json:"o"`
	// PauseMS is the mean pause between events, zero when unknown.
	PauseMS float64 `json:"g,omitempty"`
}

// adoptMessage tells a new home of the places that a host has in use and of
// the tokens that its customers used in the last seconds.
type adoptMessage struct {
	Host   tables.HostID                 `json:"h"`
	Open   []openGrant                   `json:"open,omitempty"`
	Tokens map[tables.CustomerID]float64 `json:"tokens,omitempty"`
	// OverMS is the time that Tokens covers, up to the sending.
	OverMS int64 `json:"over"`
	// Hosts is the number of hosts that its sender knows.
	Hosts int `json:"hosts"`
}

type openGrant struct {
	ID       place.ID          `json:"id"`
	Service  tables.ServiceID  `json:"s"`
	Target   tables.TargetID   `json:"t"`
	Customer tables.CustomerID `json:"c,omitempty"`
}

func fromMS(ms float64) time.Duration { return time.Duration(ms * float64(time.Millisecond)) }

func toMS(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }
