package pathing

import (
	"github.com/hibiscuswick/hibiscuswick/state/fleet"
)

// Prediction is what a stream along a path may expect of its engines.
type Prediction struct {
	// Hops are the parts of the path's engines, in order.
	Hops []HopPrediction
	// FirstMS is the time to the first event, in ms, without the time on the way to the first hop.
	FirstMS float64
	// IdleFirstMS and IdlePauseMS are the same times on engines without any load, and IdleKVShare the
	// share that this stream alone uses.
	IdleFirstMS, IdlePauseMS, IdleKVShare float64
	// KVShare is the largest used share of the KV-cache capacity of one hop, with this stream.
	KVShare float64
}

// HopPrediction is one engine's part in the time between two events of a stream.
type HopPrediction struct {
	Kind    string // accelerator kind
	PauseMS float64
}

// PauseMS returns the usual time between two events, in ms.
func (p Prediction) PauseMS() float64 {
	sum := 0.0
	for _, h := range p.Hops {
		sum += h.PauseMS
	}
	return sum
}

// Predict predicts a request's stream along a path of the roster.
func (r *Roster) Predict(req Request, states []ServerState, path fleet.Path) Prediction {
	out := Prediction{Hops: make([]HopPrediction, 0, len(path))}
	for _, h := range path {
		i, ok := r.IndexOf(h.Server)
		if !ok {
			continue
		}
		c, load, pace := &r.candidates[i], states[i].Load, states[i].pace()
		share := float64(h.Layers.Len()) / float64(max(r.engine.Layers, 1))
		prefill := 0.0
		if r.engine.ReadPerS > 0 {
			prefill = pace * share * c.Kind.ReadPace * float64(req.PromptTokens) / r.engine.ReadPerS * 1000
		}
		step := pace * share * c.Kind.Pace * (r.engine.StepMS + r.engine.SeqMS*(load.Tokens/streamTokens+1) + r.engine.ContextMS*load.Tokens/1000)
		idle := pace * share * c.Kind.Pace * (r.engine.StepMS + r.engine.SeqMS)
		out.IdlePauseMS += float64(r.engine.TokensPerEvent())*idle + hopMS
		out.IdleFirstMS += prefill + idle + hopMS
		out.Hops = append(out.Hops, HopPrediction{Kind: c.Server.Kind, PauseMS: float64(r.engine.TokensPerEvent())*step + hopMS})
		out.FirstMS += prefill + step + hopMS
		if c.KVCapacity > 0 {
			out.IdleKVShare = max(out.IdleKVShare, req.ExpectedTokens()/float64(c.KVCapacity))
			out.KVShare = max(out.KVShare, (load.Tokens+req.ExpectedTokens())/float64(c.KVCapacity))
		}
	}
	return out
}
