package pathing

import (
	"github.com/hibiscuswick/hibiscuswick/state"
	"github.com/hibiscuswick/hibiscuswick/state/fleet"
)

const (
	// hopMS is the fixed cost of one more hop, in ms per token: the link within a domain and the
	// wait for the server's next decode step, about half a step on average engines.
	hopMS = 0.8
	// crossWeight is the cost of a hop to another domain per ms that the prompt's activations
	// occupy the link between the domains. All paths share the link: 62 prompts per second with 18
	// ms each exceed its capacity, so a path may cross only if its domain lacks a layer.
	crossWeight = 3.0
	// remoteFirstHopMS is the cost of a first hop in another domain, in ms per token. Only text
	// crosses the link then, but Estimate assumes that a domain's engines are used by its own
	// daemons: with 1 instead of 3, paths of 69 daemons cost 39 ms instead of 33 ms per token in
	// the model of the spec.
	remoteFirstHopMS = 3.0
	// loadWeight scales the effect of an engine's streams on a decode step and on the wait for a
	// prefill. Waiting prompts are prefilled one after the other, and an engine that many daemons
	// choose at the same moment falls far behind: five simulated days of a deployment with little
	// capacity score 0.80 with it, and 0.79 with loadWeight 1 and scarceShare 0.9.
	loadWeight = 3.0
	// minSeqShare is the minimum part of a decode step that each stream adds, for engines whose
	// configuration does not specify it, so that requests are still spread over equal engines.
	minSeqShare = 0.001
	// streamTokens is the mean number of tokens that an active stream holds.
	streamTokens = 900.0
	// delayWeight is the cost per ms of the time to the first event that is attributed to a server:
	// a domain with a slow engine, or behind a busy link, gets only its own streams until it is as
	// fast as the others again.
	delayWeight = 0.3
	// fullMS is the cost of a server whose KV-cache capacity would be exhausted. It is paid only if
	// there is no other path.
	fullMS = 200.0
	// suspectMS is the cost of a suspected server where a part of the layers is held by suspects alone. It
	// decides among servers that are about as good otherwise: many are suspects while a site is overloaded,
	// and paths that shun them whatever the wait would fill the others.
	suspectMS = 40.0
	// scarceShare is the share of a server's KV-cache capacity above which its cost rises. An
	// engine that runs out of capacity preempts its newest stream, which repeats its prefill.
	scarceShare = 0.7
)

// price is the cost of one use of an engine, in ms per token.
type price struct {
	fixed    float64
	perLayer float64
}

// cost returns the cost of some layers.
func (p price) cost(layers int) float64 { return p.fixed + float64(layers)*p.perLayer }

// priceOf returns the price of an engine in a given state.
func priceOf(c *Candidate, st *ServerState, e *fleet.Engine, r *Request) price {
	return price{fixed: fixedCost(c, st, r), perLayer: layerCost(c, st, e, r)}
}

// layerCost returns the cost of an engine per layer: its decode step, the effect of its streams on
// that step and of this one on theirs, and its part of the time for which the prefill of this
// prompt delays this stream and the others. All inputs are in the configuration, so that engines
// are used in proportion to their kind's prefill and decode speed. A fixed cost per request would
// give fast engines the load of slow ones, and would treat an engine with slow prefill like one
// with fast prefill.
func layerCost(c *Candidate, st *ServerState, e *fleet.Engine, r *Request) float64 {
	streams := loadWeight * st.Load.Tokens / streamTokens
	seq := max(e.SeqMS, minSeqShare*e.StepMS)
	step := e.StepMS + 2*(seq*streams+e.ContextMS*st.Load.Tokens/1000)
	ms := c.Kind.Pace * step
	if e.ReadPerS > 0 {
		prefill := c.Kind.ReadPace * float64(r.PromptTokens) / e.ReadPerS * 1000
		ms += prefill * (1 + streams) / r.ExpectedOutput()
	}
	return st.pace() * ms / float64(e.Layers)
}

// fixedCost returns the cost of one use of an engine that does not depend on its layers.
func fixedCost(c *Candidate, st *ServerState, r *Request) float64 {
	ms := hopMS + delayWeight*st.DelayMS
	if st.Suspect {
		ms += suspectMS
	}
	if c.KVCapacity <= 0 {
		return ms
	}
	used := (st.Load.Tokens + r.ExpectedTokens()) / float64(c.KVCapacity)
	switch {
	case used >= 1:
		ms += fullMS
	case used > scarceShare:
		ms += fullMS / 10 * (used - scarceShare) / (1 - scarceShare)
	}
	return ms
}

// TransferMS returns how long a prompt's activations occupy the link between two failure domains,
// in ms. It returns 0 if no bandwidth of the link (PipeMbps) is set.
func TransferMS(e *fleet.Engine, prompt int) float64 {
	if e.PipeMbps <= 0 {
		return 0
	}
	return float64(prompt) * e.ActivateKB * 8 / e.PipeMbps
}

// crossingCost returns the cost of a hop from one domain to another.
func crossingCost(e *fleet.Engine, r *Request, from, to state.FailureDomain) float64 {
	ms := hopMS + crossWeight*TransferMS(e, r.PromptTokens)
	if r.LinkBacklog != nil {
		ms += r.LinkBacklog(from, to)
	}
	return ms
}
