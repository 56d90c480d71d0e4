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
	Service state.ServiceID `json:"service" format:"name"`
	// Kind says what stands behind the service: model engines or plain
	// servers.
	Kind Kind `json:"kind" enum:"model,plain"`

	// Model is what the engines load; set exactly when Kind is "model".
	Model *Model `json:"model,omitempty"`

	// Capacity is how much the service is to hold ready.
	Capacity Capacity `json:"capacity"`
	// Placement is where the layers are.
	Placement Placement `json:"placement"`

	// Classes are the kinds of request, each named once.
	Classes []Class `json:"classes" minItems:"1" maxItems:"64"`
	// Customers are those who may send requests, each named once.
	Customers []Customer `json:"customers" minItems:"1" maxItems:"10000"`
	// Retry bounds repeated attempts; left out, its defaults hold.
	Retry Retry `json:"retry" required:"false"`

	// BackendKinds says what is promised of each kind of backend server.
	BackendKinds []BackendKind `json:"backend_kinds,omitempty" maxItems:"64"`
}

// Model is what the engines load.
type Model struct {
	// Name is the model's name.
	Name string `json:"name" format:"name"`
	// Version is the version that is to run.
	Version string `json:"version" format:"name"`
	// Layers counts the model's layers; ranges of them go from 0 to Layers.
	Layers int `json:"layers" minimum:"1" maximum:"10000"`
	// Adapters are the names of the adapters to load with the model.
	Adapters []string `json:"adapters,omitempty" format:"name" maxItems:"256"`
}

// Capacity is how much the service is to hold ready.
type Capacity struct {
	// Replicas is how many replicas to keep; with fixed placement at most the
	// number of chains.
	Replicas int `json:"replicas" minimum:"1" maximum:"100000"`
	// SlotsPerReplica is how many requests run at one time in one replica.
	SlotsPerReplica int `json:"slots_per_replica" minimum:"1" maximum:"65536"`
	// QueuePerClass is how many requests may wait, per class and pool;
	// default 256.
	QueuePerClass int `json:"queue_per_class" default:"256" minimum:"1" maximum:"1000000"`
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
	// Mode says who assigns layers: "fixed" takes Chains as written, "auto"
	// leaves it to the service's controller.
	Mode PlacementMode `json:"mode" enum:"fixed,auto"`
	// Chains are the replicas; set exactly when Mode is "fixed".
	Chains []Chain `json:"chains,omitempty" maxItems:"20000"`
}

// Chain is one replica written out by hand.
type Chain struct {
	// ID names the replica.
	ID state.ReplicaID `json:"id" format:"name"`
	// Stages hold layers [0, n) in order, each layer once; a plain service's
	// chain has one stage with first and end 0.
	Stages []ChainStage `json:"stages" minItems:"1" maxItems:"1024"`
}

// ChainStage is one backend server's layers [First, End).
type ChainStage struct {
	// Backend is the server, which stands in one stage only.
	Backend state.BackendID `json:"backend" format:"backend"`
	// First is the first layer held.
	First int `json:"first" minimum:"0"`
	// End is the first layer after those held.
	End int `json:"end" minimum:"0"`
}

// Class is one kind of request.
type Class struct {
	// Name is what requests give as their class.
	Name state.ClassID `json:"name" format:"name"`

	// Priority orders classes: 0 goes first.
	Priority int `json:"priority" minimum:"0" maximum:"100"`

	// Deadline is the longest time from arrival to the first token, such as
	// "550ms"; 1ms to 24h.
	Deadline Duration `json:"deadline" minDuration:"1ms" maxDuration:"24h"`

	// NeverRepeat marks requests that run at most once.
	NeverRepeat bool `json:"never_repeat"`

	// ReservedSlots of each replica are kept for this class and those with a
	// smaller Priority number; default 0. All classes together reserve fewer
	// than a replica has.
	ReservedSlots int `json:"reserved_slots" default:"0" minimum:"0"`

	// MaxTokens is the longest answer; 0, the default, for plain services.
	MaxTokens int `json:"max_tokens" default:"0" minimum:"0" maximum:"10000000"`
}

// Customer is one customer and its limits over the whole site.
type Customer struct {
	// ID is what requests give as their customer.
	ID state.CustomerID `json:"id" format:"name"`
	// RequestsPerSecond is the rate over the whole site.
	RequestsPerSecond float64 `json:"requests_per_second" exclusiveMinimum:"0" maximum:"1000000"`
	// Burst is how many requests may come at once on top of the rate.
	Burst int `json:"burst" minimum:"1" maximum:"1000000"`
	// Weight is the customer's share of a busy queue; default 1.
	Weight float64 `json:"weight" default:"1" exclusiveMinimum:"0" maximum:"1000"`
}

// Retry bounds repeated attempts.
type Retry struct {
	// MaxAttempts counts the executions of one request, the first included;
	// default 3.
	MaxAttempts int `json:"max_attempts" default:"3" minimum:"1" maximum:"100"`
	// BudgetRatio bounds retries as a share of recent successes; default 0.2.
	BudgetRatio float64 `json:"budget_ratio" default:"0.2" minimum:"0" maximum:"1"`
}

// BackendKind is what is promised of one kind of backend server.
type BackendKind struct {
	// Kind is the name that the platform's instance list gives.
	Kind string `json:"kind" format:"name"`
	// ChecksFencing says that servers of this kind refuse an order with an
	// old fencing number. It has no default.
	ChecksFencing bool `json:"checks_fencing"`
	// Speed is the relative rate, 1, the default, being the fastest.
	Speed float64 `json:"speed" default:"1" exclusiveMinimum:"0" maximum:"1"`
	// MemoryLayers is how many layers of this model fit; needed where layers
	// are placed by the controller, default 0.
	MemoryLayers int `json:"memory_layers" default:"0" minimum:"0" maximum:"10000"`
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

// KindSpeed returns the relative speed of a kind of backend server, 1 where the
// document says nothing of it.
func (d *Document) KindSpeed(kind string) float64 {
	for _, k := range d.BackendKinds {
		if k.Kind == kind && k.Speed > 0 {
			return k.Speed
		}
	}
	return 1
}
