package pathing

import (
	"github.com/hibiscuswick/hibiscuswick/state"
	"github.com/hibiscuswick/hibiscuswick/state/fleet"
)

const (
	// hopMS is the fixed cost of one more hop, in ms a token: the link within a domain and
	// the wait for the server's next pass, about half of a pass of usual cards.
	hopMS = 0.8
	// crossWeight is the cost of a hop to another domain for each ms that the prompt's
	// activations take of the pipe between domains. All paths share it: 62 prompts a second
	// of 18 ms each over one crossing are more than it takes, so that a path crosses only
	// where its domain lacks a layer.
	crossWeight = 3.0
	// farMS is the cost of a first hop in another domain, in ms a token. Only texts cross
	// then, but Estimate takes a domain's cards to be used by its own daemons: with 1 for 3
	// paths of 69 daemons cost 39 for 33 ms a token in the model of its spec.
	farMS = 3.0
	// loadWeight is how many times what the streams on a card add to a step and to the wait
	// for a prompt counts. Those that wait for each other are read one after the other, and
	// a card that many daemons pick at one moment is far behind: five days of a deployment
	// with little room are worth .80 with it, and .79 with 1 and scarceFrom .9.
	loadWeight = 3.0
	// leastSeqShare is the part of a step that each stream adds at least, where the
	// configuration does not say: requests are spread over equal cards all the same.
	leastSeqShare = 0.001
	// streamTokens is what a stream under way holds in the mean.
	streamTokens = 900.0
	// delayWeight is the cost of each ms of an answer's beginning that a server is
	// held to account for: a domain with a slow card, or behind a busy link, is left
	// to its own streams until it is as fast as the others again.
	delayWeight = 0.3
	// fullMS is the cost of a server whose room would be used up. It is paid only
	// where no other way is left.
	fullMS = 200.0
	// scarceFrom is the share of a server's room from which on it grows dearer. A card that
	// is out of room preempts its newest stream, and reads it again.
	scarceFrom = 0.7
)

// price is what one use of a card costs, in ms a token.
type price struct {
	fixed float64
	each  float64 // for each layer
}

// of is the price of some layers.
func (p price) of(layers int) float64 { return p.fixed + float64(layers)*p.each }

// priceOf is what a card costs in a state.
func priceOf(c *Candidate, st *ServerState, e *fleet.Engine, r *Request) price {
	return price{fixed: fixed(c, st, r), each: layer(c, st, e, r)}
}

// layer is what a card costs for each layer: its step, what the streams on it add to that
// and this one to theirs, and its part of the time for which this prompt's reading holds
// itself and them up. All of it is in the configuration, so that cards are used as their
// kind reads and steps; a fixed cost a request would leave fast cards at the load of slow
// ones, and a card that reads slowly as good as one that reads fast.
func layer(c *Candidate, st *ServerState, e *fleet.Engine, r *Request) float64 {
	streams := loadWeight * st.Load.Tokens / streamTokens
	seq := max(e.SeqMS, leastSeqShare*e.StepMS)
	step := e.StepMS + 2*(seq*streams+e.ContextMS*st.Load.Tokens/1000)
	ms := c.Kind.Pace * step
	if e.ReadPerS > 0 {
		read := c.Kind.ReadPace * float64(r.PromptTokens) / e.ReadPerS * 1000
		ms += read * (1 + streams) / r.ExpectedOutput()
	}
	return ms / float64(e.Layers)
}

// fixed is what one use of a card costs beside its layers.
func fixed(c *Candidate, st *ServerState, r *Request) float64 {
	ms := hopMS + delayWeight*st.DelayMS
	if c.KVCapacity <= 0 {
		return ms
	}
	used := (st.Load.Tokens + r.ExpectedTokens()) / float64(c.KVCapacity)
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
	ms := hopMS + crossWeight*TransferMS(e, r.PromptTokens)
	if r.LinkBacklog != nil {
		ms += r.LinkBacklog(from, to)
	}
	return ms
}
