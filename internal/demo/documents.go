package demo

import (
	"time"

	"github.com/hibiscuswick/hibiscuswick/internal/site"
	"github.com/hibiscuswick/hibiscuswick/internal/standin"
	"github.com/hibiscuswick/hibiscuswick/state"
	"github.com/hibiscuswick/hibiscuswick/state/service"
)

// Names of what the demo serves.
const (
	drafts state.ServiceID = "drafts" // the registered-letter tracker's model
	alerts state.ServiceID = "alerts" // the battery lessor's plain service

	classCheck   state.ClassID = "check"
	classNote    state.ClassID = "note"
	classSummary state.ClassID = "summary"
	classAlert   state.ClassID = "alert"

	bank      state.CustomerID = "bank"
	advocates state.CustomerID = "advocates"
	dairy     state.CustomerID = "dairy"
)

const (
	noteTokens  = 40
	checkTokens = 6
)

var chains = site.Chains{Prefix: "drafter", Replicas: 3, Stages: 3, Layers: 24}

func draftsDocument() service.Document {
	return service.Document{
		Service:   drafts,
		Kind:      service.KindModel,
		Model:     &service.Model{Name: "notes", Version: "1", Layers: chains.Layers},
		Capacity:  service.Capacity{Replicas: chains.Replicas, SlotsPerReplica: 16, QueuePerClass: 256},
		Placement: chains.Placement(),
		Classes: []service.Class{
			{Name: classCheck, Priority: 0, Deadline: service.Duration(10 * time.Second), ReservedSlots: 2, MaxTokens: checkTokens},
			{Name: classNote, Priority: 1, Deadline: service.Duration(10 * time.Second), NeverRepeat: true, MaxTokens: noteTokens},
			{Name: classSummary, Priority: 2, Deadline: service.Duration(10 * time.Second), MaxTokens: noteTokens},
		},
		Customers: []service.Customer{
			{ID: bank, RequestsPerSecond: 500, Burst: 500, Weight: 1},
			{ID: advocates, RequestsPerSecond: 500, Burst: 500, Weight: 1},
		},
		Retry: service.Retry{MaxAttempts: 4, BudgetRatio: 0.5},
	}
}

func alertsDocument() service.Document {
	return service.Document{
		Service:  alerts,
		Kind:     service.KindPlain,
		Capacity: service.Capacity{Replicas: 2, SlotsPerReplica: 16, QueuePerClass: 256},
		Placement: service.Placement{Mode: service.PlacementFixed, Chains: []service.Chain{
			{ID: "alert-1", Stages: []service.ChainStage{{Backend: "alert-1"}}},
			{ID: "alert-2", Stages: []service.ChainStage{{Backend: "alert-2"}}},
		}},
		Classes: []service.Class{
			{Name: classAlert, MaxTokens: 0, Deadline: service.Duration(10 * time.Second), NeverRepeat: true},
		},
		Customers: []service.Customer{{ID: dairy, RequestsPerSecond: 500, Burst: 500, Weight: 1}},
		Retry:     service.Retry{MaxAttempts: 3, BudgetRatio: 0.5},
	}
}

// startBackends starts the engines and plain servers of both documents.
func startBackends(s *site.Site) error {
	cfg := standin.EngineConfig{Service: drafts, Model: "notes", Version: "1", Kind: "large", StepTime: time.Millisecond}
	if err := s.AddChains(chains, cfg); err != nil {
		return err
	}
	for i, id := range []state.BackendID{"alert-1", "alert-2"} {
		if err := s.AddPlain(standin.PlainConfig{ID: id}, site.Domains[i]); err != nil {
			return err
		}
	}
	return nil
}
