package pathing

import (
	"github.com/hibiscuswick/hibiscuswick/state"
	"github.com/hibiscuswick/hibiscuswick/state/fleet"
)

// Card is one backend server that holds layers.
type Candidate struct {
	Server     *fleet.Server
	Kind       fleet.CardKind
	KVCapacity int // tokens that it can hold beside its weights
}

// State is what speaks for and against a card at one moment.
type ServerState struct {
	Load     Load
	DelayMS  float64 // its part of what answers took to begin of late, in ms
	Excluded bool    // it may not be used
	Suspect  bool    // it is better not used
	// NotFirst: no request may be sent to it. Others may pass it on.
	NotFirstHop bool
}

// Load is what runs on a server.
type Load struct {
	Requests         float64 // as any hop
	FirstHopRequests float64 // as the first hop, each of which takes a slot
	Tokens           float64 // held for them
}

// Request is what a path is wanted for.
type Request struct {
	Domain       state.FailureDomain // of the daemon that sends it
	PromptTokens int                 // tokens
	MaxTokens    int                 // tokens of the longest answer
	// First are the addresses that a path may begin with; nil for any.
	FirstHops map[string]bool
	// Backlog is how many ms of transfers wait for the link between two domains;
	// nil for none.
	LinkBacklog func(a, b state.FailureDomain) float64
}

// answerShare is the usual answer's part of the longest one that a caller allows. Were rooms
// reckoned by the longest answers, cards would count as full at two thirds, and streams go
// over the slowest ones: a day with losses at 69 daemons is worth .018 less (mean of two).
const answerShare = 0.4

// Answer is how many tokens the answer is likely to have, at least 1.
func (r *Request) ExpectedOutput() float64 { return max(answerShare*float64(r.MaxTokens), 1) }

// Held is how many tokens the request is likely to hold at its end.
func (r *Request) ExpectedTokens() float64 { return float64(r.PromptTokens) + r.ExpectedOutput() }
