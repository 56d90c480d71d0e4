package site

import (
	"github.com/hibiscuswick/hibiscuswick/state"
	"github.com/hibiscuswick/hibiscuswick/state/service"
)

// Model and Version name the model that the engines of a site's chains hold.
const (
	Model   = "notes"
	Version = "1"
)

// Values of the documents below that do not matter to the callers of this package.
const (
	defaultQueuePerClass = 256
	defaultMaxAttempts   = 4
	defaultBudgetRatio   = 1
)

// ModelDocument returns the document of a model service that runs on chains.
func ModelDocument(id state.ServiceID, c Chains, slots int, classes []service.Class, customers []service.Customer) service.Document {
	return service.Document{
		Service:   id,
		Kind:      service.KindModel,
		Model:     &service.Model{Name: Model, Version: Version, Layers: c.Layers},
		Capacity:  service.Capacity{Replicas: c.Replicas, SlotsPerReplica: slots, QueuePerClass: defaultQueuePerClass},
		Placement: c.Placement(),
		Classes:   classes,
		Customers: customers,
		Retry:     service.Retry{MaxAttempts: defaultMaxAttempts, BudgetRatio: defaultBudgetRatio},
	}
}

// PlainDocument returns the document of a plain service. Each server is a replica of
// the same name.
func PlainDocument(id state.ServiceID, servers []state.BackendID, slots int, classes []service.Class, customers []service.Customer) service.Document {
	placement := service.Placement{Mode: service.PlacementFixed}
	for _, s := range servers {
		placement.Chains = append(placement.Chains, service.Chain{
			ID:     state.ReplicaID(s),
			Stages: []service.ChainStage{{Backend: s}},
		})
	}
	return service.Document{
		Service:   id,
		Kind:      service.KindPlain,
		Capacity:  service.Capacity{Replicas: len(servers), SlotsPerReplica: slots, QueuePerClass: defaultQueuePerClass},
		Placement: placement,
		Classes:   classes,
		Customers: customers,
		Retry:     service.Retry{MaxAttempts: defaultMaxAttempts, BudgetRatio: defaultBudgetRatio},
	}
}

// Customers returns customers with limits too high for a test or demo to reach.
func Customers(ids ...state.CustomerID) []service.Customer {
	customers := make([]service.Customer, 0, len(ids))
	for _, id := range ids {
		customers = append(customers, service.Customer{ID: id, RequestsPerSecond: 1000, Burst: 1000, Weight: 1})
	}
	return customers
}
