package scenario

import (
	"fmt"

	"github.com/hibiscuswick/hibiscuswick/coordination/home"
	"github.com/hibiscuswick/hibiscuswick/state"
)

// kill ends an engine or a daemon; start brings an engine back, empty.
func kill(w *Simulation, a args) error {
	name := a.word(0)
	if e := w.engine(name); e != nil {
		w.say("%s dies", name)
		e.kill()
		return nil
	}
	n := w.node(name)
	if n == nil {
		return fmt.Errorf("kill needs an engine or a daemon")
	}
	w.say("%s dies", name)
	n.dead = true
	w.pool.membersChanged()
	if n.quarantine != nil {
		w.tellQuarantines()
	}
	return nil
}

func start(w *Simulation, a args) error {
	e := w.engine(a.word(0))
	if e == nil {
		return fmt.Errorf("start needs an engine")
	}
	e.dead = false
	w.say("%s starts, and knows nothing", e.name)
	return nil
}

// eachNode does f with the daemon that the first word names.
func eachNode(w *Simulation, a args, f func(*node)) error {
	n := w.node(a.word(0))
	if n == nil {
		return fmt.Errorf("%s needs a daemon", a.d.Cmd)
	}
	f(n)
	return nil
}

func pause(w *Simulation, a args) error {
	return eachNode(w, a, func(n *node) { n.paused = true; w.say("%s is paused", n.name) })
}

func wake(w *Simulation, a args) error {
	return eachNode(w, a, func(n *node) { w.say("%s wakes", n.name); n.wake() })
}

func cut(w *Simulation, a args) error {
	return eachNode(w, a, func(n *node) { n.cut = true; w.say("%s is cut off", n.name) })
}

func heal(w *Simulation, a args) error {
	return eachNode(w, a, func(n *node) { n.cut = false; w.say("%s is connected again", n.name) })
}

// leave says that a replica is leaving.
func leave(w *Simulation, a args) error {
	id := state.ReplicaID(a.word(0))
	if _, ok := w.replica(id); !ok {
		return fmt.Errorf("leave needs a replica")
	}
	w.say("%s is leaving", id)
	w.pool.step(home.ReplicaLeaving{Replica: id})
	return nil
}

var mishaps = map[string]mishap{
	"answer-lost": mishapLoseAnswer,
	"silent":      mishapSilent,
	"late":        mishapLate,
}

// next says what befalls the next step sent to an engine.
func next(w *Simulation, a args) error {
	e := w.engine(a.word(0))
	what, ok := mishaps[a.word(1)]
	if e == nil || !ok {
		return fmt.Errorf("next needs an engine and answer-lost, silent or late")
	}
	e.next = what
	return nil
}

func storeCommand(w *Simulation, a args) error {
	switch a.word(0) {
	case "down":
		w.table.down = true
		w.say("store: down")
	case "up":
		w.table.down = false
		w.say("store: up")
	case "lose-answer":
		w.table.loseAnswer++
	default:
		return fmt.Errorf("store needs down, up or lose-answer")
	}
	return nil
}
