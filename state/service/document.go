// Package service defines the service document: the JSON document in which a
// team describes its service. It is the only thing that operators edit.
//
// A Document is immutable once decoded. Decode and Validate report all faults
// of a document at once, each with its path.
package service

import (
	"time"

	"github.com/hibiscuswick/hibiscuswick/state"
)

// Kind is the kind of backend server of a service.
type Kind string

// The values of Kind.
const (
	KindModel Kind = "model" // replicas are chains of model engines
	KindPlain Kind = "plain" // replicas are single plain servers
)

// Document is the description of one service.
type Document struct {
	// Service is the name of the service. It never changes.
	Service state.ServiceID `json:"service" format:"name"`
	// Kind is the kind of the service's backend servers: model engines or plain
	// servers.
	Kind Kind `json:"kind" enum:"model,plain"`

	// Model is the model that the engines load; set if and only if Kind is
	// "model".
	Model *Model `json:"model,omitempty"`

	// Capacity is the capacity that the service provides.
	Capacity Capacity `json:"capacity"`
	// Placement assigns the layers to backend servers.
	Placement Placement `json:"placement"`

	// Classes are the request classes, with unique names.
	Classes []Class `json:"classes" minItems:"1" maxItems:"64"`
	// Customers are the customers that may send requests, with unique ids.
	Customers []Customer `json:"customers" minItems:"1" maxItems:"10000"`
	// Retry limits retries; if it is omitted, its defaults apply.
	Retry Retry `json:"retry" required:"false"`

	// BackendKinds describes the properties of each kind of backend server.
	BackendKinds []BackendKind `json:"backend_kinds,omitempty" maxItems:"64"`
}

// Model is the model that the engines load.
type Model struct {
	// Name is the name of the model.
	Name string `json:"name" format:"name"`
	// Version is the version of the model to run.
	Version string `json:"version" format:"name"`
	// Layers is the number of layers of the model; layer ranges lie within 0 to
	// Layers.
	Layers int `json:"layers" minimum:"1" maximum:"10000"`
	// Adapters are the names of the adapters to load with the model.
	Adapters []string `json:"adapters,omitempty" format:"name" maxItems:"256"`
}

// Capacity is the capacity that a service provides.
type Capacity struct {
	// Replicas is the number of replicas to run; with fixed placement at most
	// the number of chains.
	Replicas int `json:"replicas" minimum:"1" maximum:"100000"`
	// SlotsPerReplica is the number of requests that one replica runs
	// concurrently.
	SlotsPerReplica int `json:"slots_per_replica" minimum:"1" maximum:"65536"`
	// QueuePerClass is the maximum number of queued requests per class and pool;
	// default 256.
	QueuePerClass int `json:"queue_per_class" default:"256" minimum:"1" maximum:"1000000"`
}

// PlacementMode selects who assigns layers to backend servers.
type PlacementMode string

// The values of PlacementMode.
const (
	PlacementFixed PlacementMode = "fixed" // Chains are taken as written
	PlacementAuto  PlacementMode = "auto"  // the service's controller assigns them
)

// Placement assigns the layers of the model to backend servers.
type Placement struct {
	// Mode selects who assigns the layers: "fixed" uses Chains as written,
	// "auto" lets the service's controller assign them.
	Mode PlacementMode `json:"mode" enum:"fixed,auto"`
	// Chains are the replicas; set if and only if Mode is "fixed".
	Chains []Chain `json:"chains,omitempty" maxItems:"20000"`
}

// Chain is one replica with fixed placement.
type Chain struct {
	// ID is the id of the replica.
	ID state.ReplicaID `json:"id" format:"name"`
	// Stages hold the layers [0, n) in order, each layer once; the chain of a
	// plain service has one stage with first and end 0.
	Stages []ChainStage `json:"stages" minItems:"1" maxItems:"1024"`
}

// ChainStage assigns the layers [First, End) to one backend server.
type ChainStage struct {
	// Backend is the backend server. A server is used in one stage only.
	Backend state.BackendID `json:"backend" format:"backend"`
	// First is the first layer of the stage.
	First int `json:"first" minimum:"0"`
	// End is the first layer after the stage.
	End int `json:"end" minimum:"0"`
}

// Class is one request class.
type Class struct {
	// Name is the name of the class, as requests state it.
	Name state.ClassID `json:"name" format:"name"`

	// Priority orders the classes; 0 is the most urgent.
	Priority int `json:"priority" minimum:"0" maximum:"100"`

	// Deadline is the maximum time from arrival to the first token, such as
	// "550ms"; 1ms to 24h.
	Deadline Duration `json:"deadline" minDuration:"1ms" maxDuration:"24h"`

	// NeverRepeat means that requests of the class run at most once.
	NeverRepeat bool `json:"never_repeat"`

	// ReservedSlots is the number of slots of each replica that are reserved for
	// this class and those with a lower Priority number; default 0. The sum over
	// all classes is below the number of slots of a replica.
	ReservedSlots int `json:"reserved_slots" default:"0" minimum:"0"`

	// MaxTokens is the maximum length of an answer in tokens; 0, the default,
	// for plain services.
	MaxTokens int `json:"max_tokens" default:"0" minimum:"0" maximum:"10000000"`
}

// Customer is one customer with its limits across the site.
type Customer struct {
	// ID is the id of the customer, as requests state it.
	ID state.CustomerID `json:"id" format:"name"`
	// RequestsPerSecond is the rate limit across the site.
	RequestsPerSecond float64 `json:"requests_per_second" exclusiveMinimum:"0" maximum:"1000000"`
	// Burst is the number of requests that may arrive at once above the rate.
	Burst int `json:"burst" minimum:"1" maximum:"1000000"`
	// Weight is the relative share of the customer in a queue with waiting
	// requests; default 1.
	Weight float64 `json:"weight" default:"1" exclusiveMinimum:"0" maximum:"1000"`
}

// Retry limits the retries of requests.
type Retry struct {
	// MaxAttempts is the maximum number of executions of one request, including
	// the first; default 3.
	MaxAttempts int `json:"max_attempts" default:"3" minimum:"1" maximum:"100"`
	// BudgetRatio is the maximum ratio of retries to recent successes; default
	// 0.2.
	BudgetRatio float64 `json:"budget_ratio" default:"0.2" minimum:"0" maximum:"1"`
}

// BackendKind describes one kind of backend server.
type BackendKind struct {
	// Kind is the name of the kind in the platform's instance list.
	Kind string `json:"kind" format:"name"`
	// ChecksFencing means that servers of this kind refuse orders with an
	// outdated fencing number. It has no default.
	ChecksFencing bool `json:"checks_fencing"`
	// Speed is the relative speed; 1, the default, is the fastest.
	Speed float64 `json:"speed" default:"1" exclusiveMinimum:"0" maximum:"1"`
	// MemoryLayers is the number of layers of this model that fit into memory;
	// required if the controller assigns the layers, default 0.
	MemoryLayers int `json:"memory_layers" default:"0" minimum:"0" maximum:"10000"`
}

// Versioned is a document with its version and the edit that created it.
type Versioned struct {
	Version  state.DocumentVersion `json:"version"`
	EditID   string                `json:"edit_id"`
	Document Document              `json:"document"`
}

// Duration is a time.Duration that is encoded as text, such as "250ms".
type Duration time.Duration

// Class returns the class with the given name.
func (d *Document) Class(name state.ClassID) (Class, bool) {
	for _, c := range d.Classes {
		if c.Name == name {
			return c, true
		}
	}
	return Class{}, false
}

// Customer returns the customer with the given id.
func (d *Document) Customer(id state.CustomerID) (Customer, bool) {
	for _, c := range d.Customers {
		if c.ID == id {
			return c, true
		}
	}
	return Customer{}, false
}

// KindSpeed returns the relative speed of a kind of backend server, 1 if the
// document does not list the kind.
func (d *Document) KindSpeed(kind string) float64 {
	for _, k := range d.BackendKinds {
		if k.Kind == kind && k.Speed > 0 {
			return k.Speed
		}
	}
	return 1
}
