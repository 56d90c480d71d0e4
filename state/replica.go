package state

import "fmt"

// LayerRange is the half-open range [First, End) of a model's layers.
type LayerRange struct {
	First int `msgpack:"first" json:"first"`
	End   int `msgpack:"end" json:"end"`
}

// Len returns the number of layers in the range.
func (r LayerRange) Len() int {
	return r.End - r.First
}

// String returns "[first,end)".
func (r LayerRange) String() string {
	return fmt.Sprintf("[%d,%d)", r.First, r.End)
}

// Stage is one backend server's part of a replica.
type Stage struct {
	Backend BackendID  `msgpack:"backend" json:"backend"`
	Address string     `msgpack:"address" json:"address"` // host:port
	Layers  LayerRange `msgpack:"layers" json:"layers"`

	// BootID identifies the process of the backend server in which this stage
	// was observed; empty where it is not known. A server that restarted has no
	// record of what it ran before, so its statement that it does not know an
	// attempt is proof only under the same boot ID.
	BootID string `msgpack:"life" json:"life,omitempty"`
}

// Replica is a chain of stages that together hold the layers [0, n) of one model
// version, each layer once. The replica of a plain service has one stage with an
// empty layer range.
type Replica struct {
	ID            ReplicaID     `msgpack:"id" json:"id"`
	Service       ServiceID     `msgpack:"service" json:"service"`
	Model         string        `msgpack:"model" json:"model"`
	Version       string        `msgpack:"version" json:"version"`
	Stages        []Stage       `msgpack:"stages" json:"stages"`
	Slots         int           `msgpack:"slots" json:"slots"` // concurrent requests
	FailureDomain FailureDomain `msgpack:"domain" json:"failure_domain"`

	// Speed is the relative speed of the replica; 1 is the fastest kind in the
	// service. It weights the choice among free replicas.
	Speed float64 `msgpack:"speed" json:"speed"`

	// Leaving replicas finish their running requests and get no new ones.
	Leaving bool `msgpack:"leaving" json:"leaving"`
}

// Validate returns an error unless the stages hold the layers [0, layers)
// contiguously, each once. For a plain replica layers is 0.
func (r Replica) Validate(layers int) error {
	if len(r.Stages) == 0 {
		return fmt.Errorf("replica %s has no stages", r.ID)
	}
	next := 0
	for i, s := range r.Stages {
		if s.Layers.First != next {
			return fmt.Errorf("replica %s: stage %d starts at layer %d, want %d", r.ID, i, s.Layers.First, next)
		}
		if s.Layers.Len() <= 0 && layers > 0 {
			return fmt.Errorf("replica %s: stage %d holds no layers", r.ID, i)
		}
		next = s.Layers.End
	}
	if next != layers {
		return fmt.Errorf("replica %s: last stage ends at layer %d, want %d", r.ID, next, layers)
	}
	return nil
}
