package storebudget

import (
	"time"

	"github.com/hibiscuswick/hibiscuswick/coordination/store"
)

// Kind distinguishes reads from writes.
type Kind uint8

// The values of Kind.
const (
	Read     Kind = iota
	Write         // one transaction, whatever its rows, unless Request.Cost says more
	numKinds = 2
)

// Config is the site's rate and how it is divided.
type Config struct {
	WritesPerSecond float64 // of the whole site
	ReadsPerSecond  float64

	// Shares of the site's rate by class; they add up to 1.
	WriteShares [store.NumClasses]float64
	ReadShares  [store.NumClasses]float64

	// SpreadShare is the part of the claim and lease shares that is divided equally among all
	// daemons, for claims written without a key home and for taking over leases.
	SpreadShare float64

	MaxQueue int           // calls waiting per class and kind; more are shed
	MaxWait  time.Duration // longest wait, after which a call is shed

	SlowAfter time.Duration // a call that takes longer counts as a refusal
	DownAfter int           // unanswered calls in a row after which the store counts as down

	ProbeMin time.Duration // first backoff of the calls sent while the store is down
	ProbeMax time.Duration // its maximum for up to 100 daemons; grows with their number
}

// DefaultConfig returns the values used by a daemon.
func DefaultConfig() Config {
	return Config{
		WritesPerSecond: 300,
		ReadsPerSecond:  2000,
		WriteShares:     [store.NumClasses]float64{0.55, 0.15, 0.10, 0.10, 0.10},
		ReadShares:      [store.NumClasses]float64{0.40, 0.25, 0.25, 0.05, 0.05},
		SpreadShare:     0.2,
		MaxQueue:        1024,
		MaxWait:         5 * time.Second,
		SlowAfter:       time.Second,
		DownAfter:       3,
		ProbeMin:        100 * time.Millisecond,
		ProbeMax:        time.Second,
	}
}

// Roles determines a daemon's share.
type Roles struct {
	Members  int  // live daemons, including this one
	KeyHomes int  // number of daemons that batch claims
	KeyHome  bool // whether this daemon is one of them
	Services int
	Leases   int // held by this daemon
}

// Rate returns this daemon's share of a class, in calls per second.
func (c Config) Rate(r Roles, k Kind, class store.Class) float64 {
	site := c.ReadsPerSecond * c.ReadShares[class]
	if k == Write {
		site = c.WritesPerSecond * c.WriteShares[class]
	}
	spread := site / float64(max(r.Members, 1))
	special := 0.0
	switch class {
	case store.ClassClaim:
		if r.KeyHome {
			special = site / float64(max(min(r.KeyHomes, r.Members), 1))
		}
	case store.ClassLease:
		special = site * float64(r.Leases) / float64(max(r.Services, r.Leases, 1))
	default:
		return spread
	}
	return c.SpreadShare*spread + (1-c.SpreadShare)*special
}
