package pathing

import (
	"github.com/hibiscuswick/hibiscuswick/state"
	"github.com/hibiscuswick/hibiscuswick/state/fleet"
)

// Candidate is one backend server that holds layers.
type Candidate struct {
	Server     *fleet.Server
	Kind       fleet.AcceleratorKind
	KVCapacity int // KV-cache tokens that fit in addition to its weights
}

// ServerState is the state of a candidate that affects its cost at one moment.
type ServerState struct {
	Load     Load
	Pace     float64 // duration of its work relative to the usual one of its kind, as it reported; 0 for 1
	DelayMS  float64 // its share of the recent times to the first event of answers, in ms
	Excluded bool    // may not be used
	Suspect  bool    // used only if there is no other path, and then others first that cost about the same
	// NotFirstHop means that no request may be sent to it directly, though it may be a later hop.
	NotFirstHop bool
}

// pace returns the reported pace, 1 if there is none.
func (st *ServerState) pace() float64 {
	if st.Pace <= 0 {
		return 1
	}
	return st.Pace
}

// Load is the load of a server.
type Load struct {
	Requests         float64 // as any hop
	FirstHopRequests float64 // as the first hop, each of which takes a slot
	Tokens           float64 // KV-cache tokens held for them
}

// Request is a request that needs a path.
type Request struct {
	Domain       state.FailureDomain // of the daemon that sends it
	PromptTokens int                 // tokens of the prompt
	MaxTokens    int                 // tokens of the longest answer
	// ExpectedAnswer is the expected number of tokens of the answer; 0 for AnswerShare of MaxTokens.
	ExpectedAnswer float64
	// FirstHops holds the addresses with which a path may begin; nil for any.
	FirstHops map[string]bool
	// LinkBacklog returns the pending transfers on the link between two domains, in ms; nil for
	// none.
	LinkBacklog func(a, b state.FailureDomain) float64
}

// AnswerShare is the ratio of a typical answer's length to the longest one that a caller allows. If
// capacity were calculated with the longest answers, engines would count as full at two thirds and
// streams would use the slowest ones: a simulated day with losses and 69 daemons scores 0.018 less
// (mean of two runs).
const AnswerShare = 0.4

// ExpectedOutput returns the expected number of output tokens, at least 1.
func (r *Request) ExpectedOutput() float64 {
	if r.ExpectedAnswer > 0 {
		return max(r.ExpectedAnswer, 1)
	}
	return max(AnswerShare*float64(r.MaxTokens), 1)
}

// ExpectedTokens returns the expected number of tokens that the request holds at its end.
func (r *Request) ExpectedTokens() float64 { return float64(r.PromptTokens) + r.ExpectedOutput() }
