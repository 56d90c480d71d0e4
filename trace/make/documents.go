package main

import (
	"github.com/hibiscuswick/hibiscuswick/state"
	"github.com/hibiscuswick/hibiscuswick/state/service"
)

// What the site serves.
const (
	drafts state.ServiceID = "drafts"
	alerts state.ServiceID = "alerts"

	classCheck state.ClassID = "check"
	classDraft state.ClassID = "draft"
	classNote  state.ClassID = "note"
	classAlert state.ClassID = "alert"

	customer state.CustomerID = "bank"

	checkTokens = 3
	draftTokens = 14
	noteTokens  = 6

	firstSlots    = 3
	slots         = 4 // after the edit
	editedVersion = state.DocumentVersion(2)
)

var customers = []service.Customer{{ID: customer, RequestsPerSecond: 1000, Burst: 1000, Weight: 1}}

func draftsDocument(slots int) service.Document {
	return service.Document{
		Service:   drafts,
		Kind:      service.KindModel,
		Model:     &service.Model{Name: "notes", Version: "1", Layers: chains.Layers},
		Capacity:  service.Capacity{Replicas: chains.Replicas, SlotsPerReplica: slots, QueuePerClass: 64},
		Placement: chains.Placement(),
		Classes: []service.Class{
			{Name: classCheck, Priority: 0, Deadline: deadline, ReservedSlots: 1, MaxTokens: checkTokens},
			{Name: classNote, Priority: 1, Deadline: deadline, NeverRepeat: true, MaxTokens: noteTokens},
			{Name: classDraft, Priority: 2, Deadline: deadline, MaxTokens: draftTokens},
		},
		Customers: customers,
		Retry:     service.Retry{MaxAttempts: 5, BudgetRatio: 1},
	}
}

func alertsDocument() service.Document {
	return service.Document{
		Service:  alerts,
		Kind:     service.KindPlain,
		Capacity: service.Capacity{Replicas: 1, SlotsPerReplica: 8, QueuePerClass: 64},
		Placement: service.Placement{Mode: service.PlacementFixed, Chains: []service.Chain{
			{ID: "alert-1", Stages: []service.ChainStage{{Backend: "alert-1"}}},
		}},
		Classes:   []service.Class{{Name: classAlert, Deadline: deadline, NeverRepeat: true}},
		Customers: customers,
		Retry:     service.Retry{MaxAttempts: 3, BudgetRatio: 1},
	}
}
