package state

import "fmt"

// LayerRange is the half-open range [First, End) of a model's layers.
type LayerRange struct {
	First int `msgpack:"first" json:"first"`
	End   int `msgpack:"end" json:"end"`
}

// Len counts the layers of the range.
func (r LayerRange) Len() int {
	return r.End - r.First
}

// String gives "[first,end)".
func (r LayerRange) String() string {
	return fmt.Sprintf("[%d,%d)", r.First, r.End)
}

// Stage is one backend server's part of a replica.
type Stage struct {
	Backend BackendID  `msgpack:"backend" json:"backend"`
	Address string     `msgpack:"address" json:"address"` // host:port
	Layers  LayerRange `msgpack:"layers" json:"layers"`

	// Life names the life of the backend server's process that this stage was
	// seen in; empty where it is not known. A server that restarted knows
	// nothing of what it ran before, so that its "never heard of it" proves
	// something only within one life.
	BootID string `msgpack:"life" json:"life,omitempty"`
}

// Replica is a chain of stages that together hold layers [0, n) of one model
// version, each layer once. A plain service's replica has one stage whose
// layer range is empty.
type Replica struct {
	ID            ReplicaID     `msgpack:"id" json:"id"`
	Service       ServiceID     `msgpack:"service" json:"service"`
	Model         string        `msgpack:"model" json:"model"`
	Version       string        `msgpack:"version" json:"version"`
	Stages        []Stage       `msgpack:"stages" json:"stages"`
	Slots         int           `msgpack:"slots" json:"slots"` // requests at one time
	FailureDomain FailureDomain `msgpack:"domain" json:"failure_domain"`

	// Speed is the replica's relative rate, 1 being the fastest kind in the
	// service. It weighs the choice among free replicas.
	Speed float64 `msgpack:"speed" json:"speed"`

	// Leaving replicas keep what they run and get nothing new.
	Leaving bool `msgpack:"leaving" json:"leaving"`
}

// Validate reports whether the stages hold layers [0, layers) contiguously,
// each once. A plain replica has layers 0 and exactly one stage.
func (r Replica) Validate(layers int) error {
	if len(r.Stages) == 0 {
		return fmt.Errorf("replica %s has no stage", r.ID)
	}
	next := 0
	for i, s := range r.Stages {
		if s.Layers.First != next {
			return fmt.Errorf("replica %s stage %d begins at layer %d, want %d", r.ID, i, s.Layers.First, next)
		}
		if s.Layers.Len() <= 0 && layers > 0 {
			return fmt.Errorf("replica %s stage %d holds no layer", r.ID, i)
		}
		next = s.Layers.End
	}
	if next != layers {
		return fmt.Errorf("replica %s ends at layer %d, want %d", r.ID, next, layers)
	}
	return nil
}
