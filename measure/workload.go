package measure

import (
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/hibiscuswick/hibiscuswick/state"
	"github.com/hibiscuswick/hibiscuswick/state/service"
)

// Names in the service document of the measurements.
const (
	drafts state.ServiceID = "drafts"

	classCheck state.ClassID = "check" // short and urgent
	classDraft state.ClassID = "draft" // long
	classNote  state.ClassID = "note"  // long, must not be repeated
)

// Mix describes the requests of the throughput measurement: short checks and long
// drafts.
type Mix struct {
	CheckShare     float64 `json:"check_share"` // share of the requests
	CheckTokens    int     `json:"check_tokens"`
	MinDraftTokens int     `json:"draft_least_tokens"` // lengths are distributed uniformly up to MaxDraftTokens
	MaxDraftTokens int     `json:"draft_most_tokens"`
}

// DefaultMix returns the mix of the published results, in which checks make up an
// eighth of the tokens.
func DefaultMix() Mix {
	return Mix{CheckShare: 0.6, CheckTokens: 8, MinDraftTokens: 40, MaxDraftTokens: 120}
}

// MeanTokens returns the mean length of an answer.
func (m Mix) MeanTokens() float64 {
	return m.CheckShare*float64(m.CheckTokens) + (1-m.CheckShare)*float64(m.MinDraftTokens+m.MaxDraftTokens)/2
}

// Deadlines of the first token.
const (
	checkDeadline = 550 * time.Millisecond
	draftDeadline = 5 * time.Second
)

// Goals of the measurements.
const (
	goalTokenRatio     = 0.90
	goalFirstToken     = 550 * time.Millisecond // of checks, p95
	goalBetweenTokens  = 68 * time.Millisecond  // p95
	goalGoodput        = 0.95                   // of the peak, at a load of twice the bound
	goalStageRecovery  = time.Second            // p99
	goalDaemonRecovery = 2 * time.Second        // p99
)

// maxAnswerTokens is the maximum answer length in the document.
const maxAnswerTokens = 1000

// customerCount is the number of customers that share the load. Callers of one customer
// at one address are directed to the same daemon, so several customers are needed to
// use all daemons.
const customerCount = 24

func customer(n int) state.CustomerID {
	return state.CustomerID(fmt.Sprintf("customer-%d", n%customerCount+1))
}

// requestSpec describes one request.
type requestSpec struct {
	number   int
	class    state.ClassID
	priority int
	tokens   int
	deadline time.Duration
	prompt   string
}

// draw returns a random request of the mix.
func (m Mix) draw(rng *rand.Rand, number int) requestSpec {
	w := requestSpec{number: number, class: classCheck, tokens: m.CheckTokens, deadline: checkDeadline}
	if rng.Float64() >= m.CheckShare {
		w.class = classDraft
		w.priority = 1
		w.tokens = m.MinDraftTokens + rng.IntN(m.MaxDraftTokens-m.MinDraftTokens+1)
		w.deadline = draftDeadline
	}
	w.prompt = fmt.Sprintf("%s %d tokens=%d", w.class, number, w.tokens)
	return w
}

// document returns the service document for a layout.
func document(l Layout) service.Document {
	replicas := l.replicas()
	d := service.Document{
		Service:   drafts,
		Kind:      service.KindModel,
		Model:     &service.Model{Name: modelName, Version: "1", Layers: l.Layers},
		Capacity:  service.Capacity{Replicas: len(replicas), SlotsPerReplica: l.Slots, QueuePerClass: 256},
		Placement: service.Placement{Mode: service.PlacementFixed},
		Classes: []service.Class{
			{Name: classCheck, Priority: 0, Deadline: service.Duration(checkDeadline), ReservedSlots: l.Slots / 8, MaxTokens: maxAnswerTokens},
			{Name: classDraft, Priority: 1, Deadline: service.Duration(draftDeadline), MaxTokens: maxAnswerTokens},
			{Name: classNote, Priority: 1, Deadline: service.Duration(draftDeadline), NeverRepeat: true, MaxTokens: maxAnswerTokens},
		},
		Retry:        service.Retry{MaxAttempts: 4, BudgetRatio: 0.5},
		BackendKinds: l.backendKinds(),
	}
	for _, r := range replicas {
		d.Placement.Chains = append(d.Placement.Chains, r.chain)
	}
	for i := range customerCount {
		d.Customers = append(d.Customers, service.Customer{
			ID: customer(i), RequestsPerSecond: 10_000, Burst: 10_000, Weight: 1,
		})
	}
	return d
}
