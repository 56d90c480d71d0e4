package scenario

import (
	"fmt"

	"github.com/hibiscuswick/hibiscuswick/coordination/home"
	"github.com/hibiscuswick/hibiscuswick/state"
)

// kill terminates the process of an engine or a daemon.
func kill(sim *Simulation, a args) error {
	name := a.word(0)
	if e := sim.engine(name); e != nil {
		sim.printf("%s dies", name)
		e.kill()
		return nil
	}
	n := sim.node(name)
	if n == nil {
		return fmt.Errorf("kill: want the name of an engine or a daemon")
	}
	sim.printf("%s dies", name)
	n.dead = true
	sim.pool.membersChanged()
	if n.quarantine != nil {
		sim.updateQuarantineViews()
	}
	return nil
}

// start starts a new process of an engine, with an empty cache.
func start(sim *Simulation, a args) error {
	e := sim.engine(a.word(0))
	if e == nil {
		return fmt.Errorf("start: want the name of an engine")
	}
	e.dead = false
	sim.printf("%s starts with an empty cache", e.name)
	return nil
}

// withNode calls f with the daemon named by the first word.
func withNode(sim *Simulation, a args, f func(*node)) error {
	n := sim.node(a.word(0))
	if n == nil {
		return fmt.Errorf("%s: want the name of a daemon", a.d.Cmd)
	}
	f(n)
	return nil
}

func pause(sim *Simulation, a args) error {
	return withNode(sim, a, func(n *node) { n.paused = true; sim.printf("%s is paused", n.name) })
}

func resume(sim *Simulation, a args) error {
	return withNode(sim, a, func(n *node) { sim.printf("%s resumes", n.name); n.resume() })
}

func partition(sim *Simulation, a args) error {
	return withNode(sim, a, func(n *node) { n.partitioned = true; sim.printf("%s is partitioned from the network", n.name) })
}

func heal(sim *Simulation, a args) error {
	return withNode(sim, a, func(n *node) { n.partitioned = false; sim.printf("%s is connected to the network again", n.name) })
}

// leave marks a replica as leaving.
func leave(sim *Simulation, a args) error {
	id := state.ReplicaID(a.word(0))
	if _, ok := sim.replica(id); !ok {
		return fmt.Errorf("leave: want the name of a replica")
	}
	sim.printf("%s is leaving", id)
	sim.pool.step(home.ReplicaLeaving{Replica: id})
	return nil
}

var stepFaults = map[string]stepFault{
	"answer-lost": faultAnswerLost,
	"silent":      faultUnresponsive,
	"late":        faultLate,
}

// setStepFault sets the fault of the next step sent to an engine.
func setStepFault(sim *Simulation, a args) error {
	e := sim.engine(a.word(0))
	fault, ok := stepFaults[a.word(1)]
	if e == nil || !ok {
		return fmt.Errorf("next: want an engine and one of answer-lost, silent, late")
	}
	e.nextFault = fault
	return nil
}

func storeCommand(sim *Simulation, a args) error {
	switch a.word(0) {
	case "down":
		sim.table.down = true
		sim.printf("store: down")
	case "up":
		sim.table.down = false
		sim.printf("store: up")
	case "lose-answer":
		sim.table.answersToLose++
	default:
		return fmt.Errorf("store: want one of down, up, lose-answer")
	}
	return nil
}
