package answersize

import (
	"math/bits"

	"github.com/hashicorp/golang-lru/v2/simplelru"
)

const (
	// MaxRoutes bounds the number of routes whose answers are remembered, of about 1 KB each.
	MaxRoutes = 2048
	// bands is the number of bands of hints: hints of 2^k to 2^(k+1)-1 tokens are in band k, those
	// beyond the last one in the last one.
	bands = 20
	// priorWeight is the number of observations that count as much as what was assumed before them.
	priorWeight = 8.0
	// memory is the number of observations after which one counts 1/e.
	memory = 256.0
)

// Basis says what an estimate was made from, and is its name in metrics.
type Basis string

// The values of Basis.
const (
	BasisDefault Basis = "default" // nothing was observed
	BasisRoute   Basis = "route"   // earlier answers of the route
	BasisHint    Basis = "hint"    // the hint, corrected by earlier answers with such hints
)

// Request is what is known of a request before it is sent.
type Request struct {
	Route   string
	Hint    int // its caller's estimate in tokens, 0 if there is none
	Longest int // tokens of the longest answer that is allowed, 0 if it is unknown
}

// hint returns the hint, limited to the longest answer.
func (r Request) hint() int { return min(r.Hint, r.Longest) }

// Estimate is the expected length of an answer. Tokens is 0 if the longest one is unknown.
type Estimate struct {
	Tokens float64
	Basis  Basis
}

// Estimator estimates the lengths of answers.
type Estimator struct {
	defaultShare float64
	routes       *simplelru.LRU[string, *route]
	errors       ratio // of the absolute errors to the lengths of answers
}

// route is what was observed of a route's answers.
type route struct {
	unhinted ratio // to the longest answer, of answers without a hint
	hinted   ratio // to the longest answer, of answers with a hint
	bands    [bands]ratio
	tail     tail
}

// New returns an estimator that knows of no answers. It assumes that an answer has a share of the
// longest one.
func New(defaultShare float64) *Estimator {
	routes, err := simplelru.NewLRU[string, *route](MaxRoutes, nil)
	if err != nil {
		panic("answersize: " + err.Error()) // MaxRoutes is not positive
	}
	return &Estimator{defaultShare: defaultShare, routes: routes}
}

// Expected returns the expected length of the answer to a request.
func (e *Estimator) Expected(r Request) Estimate {
	if r.Longest <= 0 {
		return Estimate{Basis: BasisDefault}
	}
	longest := float64(r.Longest)
	out := Estimate{Tokens: e.defaultShare * longest, Basis: BasisDefault}
	if known, ok := e.routes.Get(r.Route); ok {
		out = known.estimate(r, out)
	}
	out.Tokens = min(max(out.Tokens, 1), longest)
	return out
}

func (k *route) estimate(r Request, assumed Estimate) Estimate {
	hint := r.hint()
	if hint <= 0 {
		return k.unhinted.correct(assumed, float64(r.Longest), BasisRoute)
	}
	assumed = k.hinted.correct(assumed, float64(r.Longest), BasisRoute)
	return k.bands[bandOf(hint)].correct(assumed, float64(hint), BasisHint)
}

// Total returns the expected length of a running answer for which Expected has returned a number of
// tokens, and which has already produced some.
func (e *Estimator) Total(r Request, expected, produced float64) float64 {
	if expected <= 0 || produced <= 0 {
		return expected
	}
	total := max(expected, produced)
	if known, ok := e.routes.Get(r.Route); ok {
		total = expected * known.tail.meanBeyond(produced/expected)
	}
	return min(max(total, produced), float64(r.Longest))
}

// Observe records the length of a complete answer for which Expected has returned a number of
// tokens.
func (e *Estimator) Observe(r Request, expected float64, tokens int) {
	if r.Longest <= 0 || tokens <= 0 || expected <= 0 {
		return
	}
	length, longest := float64(min(tokens, r.Longest)), float64(r.Longest)
	known, ok := e.routes.Get(r.Route)
	if !ok {
		known = &route{}
		e.routes.Add(r.Route, known)
	}
	e.errors.add(max(length-expected, expected-length), length)
	known.tail.add(length / expected)
	hint := r.hint()
	if hint <= 0 {
		known.unhinted.add(length, longest)
		return
	}
	known.hinted.add(length, longest)
	known.bands[bandOf(hint)].add(length, float64(hint))
}

// Error returns the mean absolute error of the estimates for complete answers, as a share of their
// mean length.
func (e *Estimator) Error() float64 { return e.errors.value() }

// bandOf returns the band of a hint of at least 1.
func bandOf(hint int) int { return min(bits.Len(uint(hint))-1, bands-1) }

// ratio is the ratio of two sums, of which old terms are forgotten.
type ratio struct {
	weight     float64 // number of terms that are not forgotten
	sum, total float64
}

func (o *ratio) add(part, whole float64) {
	const keep = 1 - 1/memory
	o.weight = o.weight*keep + 1
	o.sum = o.sum*keep + part
	o.total = o.total*keep + whole
}

func (o *ratio) value() float64 {
	if o.total <= 0 {
		return 0
	}
	return o.sum / o.total
}

// correct moves an assumed length to the observed share of whole.
func (o *ratio) correct(assumed Estimate, whole float64, basis Basis) Estimate {
	if o.weight <= 0 {
		return assumed
	}
	prior := priorWeight * (1 - o.weight/memory) // forgotten like an observation
	tokens := (prior*assumed.Tokens + o.weight*o.value()*whole) / (prior + o.weight)
	return Estimate{Tokens: tokens, Basis: basis}
}
