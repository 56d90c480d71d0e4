package pathing

import (
	"github.com/hibiscuswick/hibiscuswick/state"
	"github.com/hibiscuswick/hibiscuswick/state/fleet"
)

// Card is one backend server that holds layers.
type Card struct {
	Server *fleet.Server
	Kind   fleet.CardKind
	Room   int // tokens that it can hold beside its weights
}

// State is what speaks for and against a card at one moment.
type State struct {
	Load    Load
	Delay   float64 // its part of what answers took to begin of late, in ms
	Barred  bool    // it may not be used
	Suspect bool    // it is better not used
}

// Load is what all daemons together are believed to run on a server.
type Load struct {
	Requests float64 // as any hop
	First    float64 // as the first hop, each of which takes a slot
	Tokens   float64 // held for them, in tokens of the layers that they use
}

// Request is what a path is wanted for.
type Request struct {
	Domain state.FailureDomain // of the daemon that sends it
	Prompt int                 // tokens
	Tokens int                 // prompt and longest answer
	// First are the addresses that a path may begin with; nil for any.
	First map[string]bool
	// Backlog is how many ms of transfers wait for the link between two domains;
	// nil for none.
	Backlog func(a, b state.FailureDomain) float64
}

const (
	// hopMS is the fixed cost of one more hop, in ms a token: the link within a
	// domain and the wait for the server's next pass.
	hopMS = 0.4
	// crossWeight is the cost of a hop to another domain for each ms that the
	// prompt's activations take of the pipe between domains. All paths share it:
	// 62 prompts a second of 18 ms each over one crossing are more than it takes,
	// so that a path crosses only where its domain lacks a layer.
	crossWeight = 3.0
	// farMS is the cost of a first hop in another domain. Only texts cross then.
	farMS = 1.0
	// loadMS is what each request that runs on a server adds to a token's wait
	// there, in ms; it spreads requests over equal servers.
	loadMS = 0.15
	// delayWeight is the cost of each ms of an answer's beginning that a server is
	// held to account for: a domain with a slow card, or behind a busy link, is left
	// to its own streams until it is as fast as the others again.
	delayWeight = 0.3
	// fullMS is the cost of a server whose room would be used up. It is paid only
	// where no other way is left.
	fullMS = 200.0
	// scarceFrom is the share of a server's room from which on it grows dearer.
	scarceFrom = 0.6
)

// layer is what a card costs for each layer, in ms a token.
func layer(c *Card, e *fleet.Engine) float64 {
	return e.StepMS * c.Kind.Pace / float64(e.Layers)
}

// fixed is what one use of a card costs beside its layers, in ms a token.
func fixed(c *Card, st *State, r *Request) float64 {
	ms := hopMS + loadMS*st.Load.Requests + delayWeight*st.Delay
	if c.Room <= 0 {
		return ms
	}
	used := (st.Load.Tokens + float64(r.Tokens)) / float64(c.Room)
	switch {
	case used >= 1:
		ms += fullMS
	case used > scarceFrom:
		ms += fullMS / 10 * (used - scarceFrom) / (1 - scarceFrom)
	}
	return ms
}

// TransferMS is how long a prompt's activations take the link between two domains,
// in ms.
func TransferMS(e *fleet.Engine, prompt int) float64 {
	if e.PipeMbps <= 0 {
		return 0
	}
	return float64(prompt) * e.ActivateKB * 8 / e.PipeMbps
}

// crossing returns what a hop from one domain to another costs.
func crossing(e *fleet.Engine, r *Request, from, to state.FailureDomain) float64 {
	ms := hopMS + crossWeight*TransferMS(e, r.Prompt)
	if r.Backlog != nil {
		ms += r.Backlog(from, to)
	}
	return ms
}
