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

	classCheck state.ClassID = "check" // a status check, short and urgent
	classDraft state.ClassID = "draft" // a summary, long
	classNote  state.ClassID = "note"  // as long, never repeated
)

// Mix is the work of throughput's requests: short checks beside long drafts.
type Mix struct {
	CheckShare     float64 `json:"check_share"` // of the requests
	CheckTokens    int     `json:"check_tokens"`
	MinDraftTokens int     `json:"draft_least_tokens"` // drafts are of any length between, alike
	MaxDraftTokens int     `json:"draft_most_tokens"`
}

// DefaultMix is that of the published figures: an eighth of the tokens are of
// checks.
func DefaultMix() Mix {
	return Mix{CheckShare: 0.6, CheckTokens: 8, MinDraftTokens: 40, MaxDraftTokens: 120}
}

// MeanTokens is the mean length of an answer.
func (m Mix) MeanTokens() float64 {
	return m.CheckShare*float64(m.CheckTokens) + (1-m.CheckShare)*float64(m.MinDraftTokens+m.MaxDraftTokens)/2
}

// Deadlines to the first token.
const (
	checkDeadline = 550 * time.Millisecond
	draftDeadline = 5 * time.Second
)

// Goals of the measures.
const (
	goalRatio   = 0.90
	goalFirst   = 550 * time.Millisecond // of checks, 95 in 100
	goalBetween = 68 * time.Millisecond  // 95 in 100
	goalGoodput = 0.95                   // of the peak, at twice the bound
	goalStage   = time.Second            // p99
	goalDaemon  = 2 * time.Second        // p99
)

// mostTokens is the longest answer of the document.
const mostTokens = 1000

// customers is how many share the load. Callers of one customer on one address
// are sent to one daemon, so that several are needed to use all.
const customers = 24

func customer(n int) state.CustomerID {
	return state.CustomerID(fmt.Sprintf("customer-%d", n%customers+1))
}

// work is one request.
type work struct {
	number   int
	class    state.ClassID
	priority int
	tokens   int
	deadline time.Duration
	prompt   string
}

// next draws a request.
func (m Mix) next(rng *rand.Rand, number int) work {
	w := work{number: number, class: classCheck, tokens: m.CheckTokens, deadline: checkDeadline}
	if rng.Float64() >= m.CheckShare {
		w.class = classDraft
		w.priority = 1
		w.tokens = m.MinDraftTokens + rng.IntN(m.MaxDraftTokens-m.MinDraftTokens+1)
		w.deadline = draftDeadline
	}
	w.prompt = fmt.Sprintf("%s %d tokens=%d", w.class, number, w.tokens)
	return w
}

// document describes the service over a layout.
func document(l Layout) service.Document {
	replicas := l.replicas()
	d := service.Document{
		Service:   drafts,
		Kind:      service.KindModel,
		Model:     &service.Model{Name: modelName, Version: "1", Layers: l.Layers},
		Capacity:  service.Capacity{Replicas: len(replicas), SlotsPerReplica: l.Slots, QueuePerClass: 256},
		Placement: service.Placement{Mode: service.PlacementFixed},
		Classes: []service.Class{
			{Name: classCheck, Priority: 0, Deadline: service.Duration(checkDeadline), ReservedSlots: l.Slots / 8, MaxTokens: mostTokens},
			{Name: classDraft, Priority: 1, Deadline: service.Duration(draftDeadline), MaxTokens: mostTokens},
			{Name: classNote, Priority: 1, Deadline: service.Duration(draftDeadline), NeverRepeat: true, MaxTokens: mostTokens},
		},
		Retry:        service.Retry{MaxAttempts: 4, BudgetRatio: 0.5},
		BackendKinds: l.speeds(),
	}
	for _, r := range replicas {
		d.Placement.Chains = append(d.Placement.Chains, r.chain)
	}
	for i := range customers {
		d.Customers = append(d.Customers, service.Customer{
			ID: customer(i), RequestsPerSecond: 10_000, Burst: 10_000, Weight: 1,
		})
	}
	return d
}
