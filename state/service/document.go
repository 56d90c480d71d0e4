// Package service holds the service document: the one JSON text by which a
// team describes its service, and the only thing an operator edits.
//
// A Document is immutable once decoded. Decode and Validate report every fault
// of a text at once, each by its path.
package service

import (
	"time"

	"github.com/hibiscuswick/hibiscuswick/state"
)

// Kind says what stands behind a service.
type Kind string

// The values of Kind.
const (
	KindModel Kind = "model" // replicas are chains of model engines
	KindPlain Kind = "plain" // replicas are single plain servers
)

// Document is one service as its team describes it.
type Document struct {
	// Service names the service; it never changes.
	Service state.ServiceID `json:"service"`
	Kind    Kind            `json:"kind"`

	// Model is set exactly when Kind is KindModel.
	Model *Model `json:"model,omitempty"`

	Capacity  Capacity   `json:"capacity"`
	Placement Placement  `json:"placement"`
	Classes   []Class    `json:"classes"`
	Customers []Customer `json:"customers"`
	Retry     Retry      `json:"retry"`

	// BackendKinds says what is promised of each kind of backend server.
	BackendKinds []BackendKind `json:"backend_kinds,omitempty"`
}

// Model is what the engines load.
type Model struct {
	Name     string   `json:"name"`
	Version  string   `json:"version"`
	Layers   int      `json:"layers"`
	Adapters []string `json:"adapters,omitempty"`
}

// Capacity is how much the service is to hold ready.
type Capacity struct {
	Replicas        int `json:"replicas"`
	SlotsPerReplica int `json:"slots_per_replica"` // requests at one time in one replica
	QueuePerClass   int `json:"queue_per_class"`   // requests waiting, per class and pool; default 256
}

// PlacementMode says who assigns layers to backend servers.
type PlacementMode string

// The values of PlacementMode.
const (
	PlacementFixed PlacementMode = "fixed" // Chains are taken as written
	PlacementAuto  PlacementMode = "auto"  // the service's controller places them
)

// Placement is where the layers are.
type Placement struct {
	Mode   PlacementMode `json:"mode"`
	Chains []Chain       `json:"chains,omitempty"` // only with PlacementFixed
}

// Chain is one replica written out by hand.
type Chain struct {
	ID     state.ReplicaID `json:"id"`
	Stages []ChainStage    `json:"stages"`
}

// ChainStage is one backend server's layers [First, End).
type ChainStage struct {
	Backend state.BackendID `json:"backend"`
	First   int             `json:"first"`
	End     int             `json:"end"`
}

// Class is one kind of request.
type Class struct {
	Name state.ClassID `json:"name"`

	// Priority orders classes: 0 goes first.
	Priority int `json:"priority"`

	// Deadline is the longest time from arrival to the first token.
	Deadline Duration `json:"deadline"`

	// NeverRepeat marks requests that run at most once.
	NeverRepeat bool `json:"never_repeat"`

	// ReservedSlots of each replica are kept for this class and those with a
	// smaller Priority number.
	ReservedSlots int `json:"reserved_slots"`

	MaxTokens int `json:"max_tokens"` // the longest answer; 0 for plain services
}

// Customer is one customer and its limits over the whole site.
type Customer struct {
	ID                state.CustomerID `json:"id"`
	RequestsPerSecond float64          `json:"requests_per_second"`
	Burst             int              `json:"burst"`
	Weight            float64          `json:"weight"` // share of a busy queue; default 1
}

// Retry bounds repeated attempts.
type Retry struct {
	MaxAttempts int     `json:"max_attempts"` // default 3
	BudgetRatio float64 `json:"budget_ratio"` // retries as a share of recent successes; default 0.2
}

// BackendKind is what is promised of one kind of backend server.
type BackendKind struct {
	Kind          string  `json:"kind"`
	ChecksFencing bool    `json:"checks_fencing"` // refuses an order with an old fencing number
	Speed         float64 `json:"speed"`          // relative rate, 1 the fastest
	MemoryLayers  int     `json:"memory_layers"`  // how many layers of this model fit
}

// Versioned is a document with its place in the service's history.
type Versioned struct {
	Version  state.DocumentVersion `json:"version"`
	EditID   string                `json:"edit_id"`
	Document Document              `json:"document"`
}

// Duration is a time.Duration written as text, such as "250ms".
type Duration time.Duration

// Class returns the class of that name.
func (d *Document) Class(name state.ClassID) (Class, bool) {
	for _, c := range d.Classes {
		if c.Name == name {
			return c, true
		}
	}
	return Class{}, false
}

// Customer returns the customer of that id.
func (d *Document) Customer(id state.CustomerID) (Customer, bool) {
	for _, c := range d.Customers {
		if c.ID == id {
			return c, true
		}
	}
	return Customer{}, false
}
