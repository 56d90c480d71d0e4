package service

import (
	"github.com/hibiscuswick/hibiscuswick/internal/strictjson"
	"github.com/hibiscuswick/hibiscuswick/state"
)

// checker collects the faults that involve more than one field. Fields that are
// zero were reported during decoding and are skipped.
type checker struct {
	faults []Fault
}

func (c *checker) addf(path, format string, args ...any) {
	c.faults = append(c.faults, strictjson.Faultf(path, format, args...))
}

// contradictions returns the faults that involve more than one part of d.
func (d *Document) contradictions() []Fault {
	c := &checker{}
	d.checkModel(c)
	d.checkPlacement(c)
	d.checkClasses(c)
	d.checkCustomers(c)
	d.checkBackendKinds(c)
	return c.faults
}

func (d *Document) checkModel(c *checker) {
	if d.Kind == KindModel && d.Model == nil {
		c.addf("model", `is missing; kind "model" needs it`)
	}
	if d.Kind == KindPlain && d.Model != nil {
		c.addf("model", `must be left out for kind "plain"`)
	}
	if d.Model == nil {
		return
	}
	seen := firstPaths[string]{}
	for i, a := range d.Model.Adapters {
		seen.add(c, a, func() string { return strictjson.Item("model.adapters", i) })
	}
}

func (d *Document) checkPlacement(c *checker) {
	const path = "placement.chains"
	chains := d.Placement.Chains
	switch {
	case d.Placement.Mode == PlacementAuto && len(chains) > 0:
		c.addf(path, `must be left out with mode "auto"`)
	case d.Placement.Mode == PlacementFixed && len(chains) == 0:
		c.addf(path, `is missing; mode "fixed" needs it`)
	case d.Placement.Mode == PlacementFixed && d.Capacity.Replicas > len(chains):
		c.addf("capacity.replicas", "is %d, but placement.chains has only %d", d.Capacity.Replicas, len(chains))
	}
	ids := firstPaths[state.ReplicaID]{}
	backends := firstPaths[state.BackendID]{}
	for i, chain := range chains {
		at := func(rest string) string { return strictjson.Member(strictjson.Item(path, i), rest) }
		ids.add(c, chain.ID, func() string { return at("id") })
		for j, s := range chain.Stages {
			backends.add(c, s.Backend, func() string { return at(stagePath(j, "backend")) })
		}
		d.checkChain(c, at, chain.Stages)
	}
}

func stagePath(j int, field string) string {
	return strictjson.Member(strictjson.Item("stages", j), field)
}

// checkChain reports stages that do not hold each layer once, in order. In such
// a chain a token would run through a layer twice or not at all.
func (d *Document) checkChain(c *checker, at func(string) string, stages []ChainStage) {
	if d.Kind == KindPlain {
		checkPlainChain(c, at, stages)
		return
	}
	if d.Model == nil || d.Model.Layers < 1 || len(stages) == 0 {
		return
	}
	next := 0
	for i, s := range stages {
		if s.First != next {
			c.addf(at(stagePath(i, "first")), "is %d, must be %d, so that each layer stands in the chain once", s.First, next)
		}
		if s.End <= s.First {
			c.addf(at(stagePath(i, "end")), "is %d, must be above first, which is %d", s.End, s.First)
		}
		next = max(s.End, s.First)
	}
	if next != d.Model.Layers {
		last := stagePath(len(stages)-1, "end")
		c.addf(at(last), "is %d, must be %d, the number of the model's layers", next, d.Model.Layers)
	}
}

func checkPlainChain(c *checker, at func(string) string, stages []ChainStage) {
	if len(stages) > 1 {
		c.addf(at("stages"), `has %d elements; a chain of kind "plain" has one`, len(stages))
	}
	for i, s := range stages {
		if s.First != 0 || s.End != 0 {
			c.addf(at(strictjson.Item("stages", i)), `holds layers; for kind "plain" first and end are 0`)
		}
	}
}

func (d *Document) checkClasses(c *checker) {
	names := firstPaths[state.ClassID]{}
	reserved := 0
	for i, class := range d.Classes {
		at := strictjson.Item("classes", i)
		names.add(c, class.Name, func() string { return strictjson.Member(at, "name") })
		reserved += min(class.ReservedSlots, 1<<32) // avoids an overflow of the sum
		if d.Kind == KindModel && class.MaxTokens == 0 {
			c.addf(strictjson.Member(at, "max_tokens"), `must be at least 1 for kind "model"`)
		}
		if d.Kind == KindPlain && class.MaxTokens > 0 {
			c.addf(strictjson.Member(at, "max_tokens"), `is %d, must be 0 or left out for kind "plain"`, class.MaxTokens)
		}
	}
	if slots := d.Capacity.SlotsPerReplica; slots > 0 && reserved >= slots {
		c.addf("classes", "reserve %d slots together, must be fewer than capacity.slots_per_replica, which is %d", reserved, slots)
	}
}

func (d *Document) checkCustomers(c *checker) {
	ids := firstPaths[state.CustomerID]{}
	for i, customer := range d.Customers {
		ids.add(c, customer.ID, func() string {
			return strictjson.Member(strictjson.Item("customers", i), "id")
		})
	}
}

func (d *Document) checkBackendKinds(c *checker) {
	auto := d.Kind == KindModel && d.Placement.Mode == PlacementAuto
	if auto && len(d.BackendKinds) == 0 {
		c.addf("backend_kinds", `is missing; placement.mode "auto" needs the kinds that layers may be placed on`)
	}
	kinds := firstPaths[string]{}
	for i, k := range d.BackendKinds {
		at := strictjson.Item("backend_kinds", i)
		kinds.add(c, k.Kind, func() string { return strictjson.Member(at, "kind") })
		if auto && k.MemoryLayers == 0 {
			c.addf(strictjson.Member(at, "memory_layers"), `must be at least 1 with placement.mode "auto"`)
		}
	}
}

// firstPaths maps each name of a list to the path of its first occurrence. Paths are
// built only for a fault, since a document may contain thousands of names.
type firstPaths[K ~string] map[K]func() string

// add adds the name at path, or reports it as a duplicate. An empty name was
// reported during decoding.
func (f firstPaths[K]) add(c *checker, name K, path func() string) {
	if name == "" {
		return
	}
	if first, seen := f[name]; seen {
		c.addf(path(), "is %q, which already stands at %s", name, first())
		return
	}
	f[name] = path
}
