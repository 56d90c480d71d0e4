package site

import (
	"github.com/hibiscuswick/hibiscuswick/state"
	"github.com/hibiscuswick/hibiscuswick/state/service"
)

// Model and Version are what the engines of a site's chains hold.
const (
	Model   = "notes"
	Version = "1"
)

// Bounds of the documents below that no user of them cares for.
const (
	queuePerClass = 256
	maxAttempts   = 4
	budgetRatio   = 1
)

// ModelDocument describes a model service over chains.
func ModelDocument(id state.ServiceID, c Chains, slots int, classes []service.Class, customers []service.Customer) service.Document {
	return service.Document{
		Service:   id,
		Kind:      service.KindModel,
		Model:     &service.Model{Name: Model, Version: Version, Layers: c.Layers},
		Capacity:  service.Capacity{Replicas: c.Replicas, SlotsPerReplica: slots, QueuePerClass: queuePerClass},
		Placement: c.Placement(),
		Classes:   classes,
		Customers: customers,
		Retry:     service.Retry{MaxAttempts: maxAttempts, BudgetRatio: budgetRatio},
	}
}

// PlainDocument describes a plain service; each server is a replica of its name.
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
		Capacity:  service.Capacity{Replicas: len(servers), SlotsPerReplica: slots, QueuePerClass: queuePerClass},
		Placement: placement,
		Classes:   classes,
		Customers: customers,
		Retry:     service.Retry{MaxAttempts: maxAttempts, BudgetRatio: budgetRatio},
	}
}

// Customers lists customers whose limits no test or demo is meant to meet.
func Customers(ids ...state.CustomerID) []service.Customer {
	customers := make([]service.Customer, 0, len(ids))
	for _, id := range ids {
		customers = append(customers, service.Customer{ID: id, RequestsPerSecond: 1000, Burst: 1000, Weight: 1})
	}
	return customers
}
