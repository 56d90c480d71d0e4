package compare

import (
	"fmt"
	"time"

	"github.com/hibiscuswick/hibiscuswick/coordination/home"
	"github.com/hibiscuswick/hibiscuswick/coordination/route"
	"github.com/hibiscuswick/hibiscuswick/state"
	"github.com/hibiscuswick/hibiscuswick/state/service"
)

// specs returns the replicas. With distinctPools, their names hash to different pools.
func specs(speeds []float64, slots int, distinctPools bool) []state.Replica {
	var out []state.Replica
	taken := map[string]bool{}
	for n := 0; len(out) < len(speeds); n++ {
		s := state.Replica{
			ID: state.ReplicaID(fmt.Sprintf("replica-%03d", n)), Service: "drafting",
			Slots: slots, Speed: speeds[len(out)],
		}
		one := route.ReplicasChanged{Service: "drafting", Capacity: len(speeds), Replicas: []state.Replica{s}}
		pool := string(route.Partition(one, nil, 1)[0].ID)
		if distinctPools && taken[pool] {
			continue
		}
		taken[pool] = true
		out = append(out, s)
	}
	return out
}

// customers is the number of customers. The first few send most requests.
const customers = 10

// Document returns the document of the simulated service.
func Document(capacity int) *service.Document {
	d := &service.Document{
		Service:  "drafting",
		Capacity: service.Capacity{Replicas: capacity, QueuePerClass: 256},
		Classes: []service.Class{
			{Name: "check", Priority: 0, ReservedSlots: 1},
			{Name: "draft", Priority: 1},
		},
	}
	for i := range customers {
		d.Customers = append(d.Customers, service.Customer{ID: customerName(i), Weight: 1})
	}
	return d
}

func customerName(i int) state.CustomerID {
	return state.CustomerID(fmt.Sprintf("customer-%d", i))
}

// submitNext submits a request and schedules the next one.
func (r *comparison) submitNext() {
	rate := r.Load * r.Bound()
	r.loop.After(time.Duration(r.rng.ExpFloat64()/rate*float64(time.Second)), r.submitNext)
	r.submit(r.rng.IntN(r.Daemons), r.newJob())
}

func (r *comparison) newJob() *Job {
	now := r.loop.Now()
	r.jobCount++
	j := &Job{
		ID:       home.SlotRequestID{Request: state.RequestID(fmt.Sprintf("entry-0-%012x", r.jobCount)), Attempt: 1},
		Customer: customerName(min(int(r.rng.ExpFloat64()*2), customers-1)),
		Class:    Draft, Prefill: r.DraftPrefill, Arrived: now, Deadline: now.Add(r.DraftDeadline),
		Tokens: min(int(r.rng.ExpFloat64()*draftTokens)+1, maxTokens),
		Ended:  r.recordJob,
	}
	if r.rng.Float64() < r.CheckShare {
		j.Class, j.Prefill, j.Tokens = Check, checkPrefill, checkTokens
		j.Deadline = now.Add(r.CheckDeadline)
	}
	if r.Prefixes > 0 && j.Class == Draft {
		j.Prefix = uint64(r.rng.IntN(r.Prefixes)) + 1
	}
	return j
}
