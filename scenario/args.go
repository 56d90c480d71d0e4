package scenario

import (
	"fmt"
	"strconv"
	"time"

	"github.com/cockroachdb/datadriven"
)

// args reads the arguments of a command: bare words and name=value pairs.
type args struct {
	d *datadriven.TestData
}

// word returns the i-th bare word, or "" if there are fewer.
func (a args) word(i int) string {
	n := 0
	for _, arg := range a.d.CmdArgs {
		if len(arg.Vals) > 0 {
			continue
		}
		if n == i {
			return arg.Key
		}
		n++
	}
	return ""
}

// has reports whether the arguments contain a bare word.
func (a args) has(word string) bool {
	for _, arg := range a.d.CmdArgs {
		if arg.Key == word && len(arg.Vals) == 0 {
			return true
		}
	}
	return false
}

// text returns the value of name, or def if it is not given.
func (a args) text(name, def string) string {
	for _, arg := range a.d.CmdArgs {
		if arg.Key == name && len(arg.Vals) > 0 {
			return arg.Vals[0]
		}
	}
	return def
}

func (a args) number(name string, def int) (int, error) {
	text := a.text(name, "")
	if text == "" {
		return def, nil
	}
	n, err := strconv.Atoi(text)
	if err != nil || n < 0 {
		return 0, fmt.Errorf("%s=%s is not a non-negative integer", name, text)
	}
	return n, nil
}

func (a args) duration(name string, def time.Duration) (time.Duration, error) {
	text := a.text(name, "")
	if text == "" {
		return def, nil
	}
	d, err := time.ParseDuration(text)
	if err != nil || d < 0 {
		return 0, fmt.Errorf("%s=%s is not a non-negative duration such as 300ms", name, text)
	}
	return d, nil
}

// node returns the daemon named by the argument "at".
func (a args) node(sim *Simulation) (*node, error) {
	name := a.text("at", "")
	if n := sim.node(name); n != nil {
		return n, nil
	}
	return nil, fmt.Errorf("at=%s: no such daemon", name)
}

// Defaults of a simulated site.
const (
	defaultDaemons      = 2
	defaultReplicas     = 2
	defaultStages       = 2
	defaultSlots        = 4
	defaultStepTime     = 10 * time.Millisecond
	defaultStoreLatency = 4 * time.Millisecond
)

func layout(a args) (Layout, error) {
	var l Layout
	var errs [6]error
	l.Daemons, errs[0] = a.number("daemons", defaultDaemons)
	l.Replicas, errs[1] = a.number("replicas", defaultReplicas)
	l.Stages, errs[2] = a.number("stages", defaultStages)
	l.Slots, errs[3] = a.number("slots", defaultSlots)
	l.StepTime, errs[4] = a.duration("step", defaultStepTime)
	l.StoreLatency, errs[5] = a.duration("store", defaultStoreLatency)
	l.Documents = a.has("documents")
	l.Quarantine = a.has("quarantine")
	for _, err := range errs {
		if err != nil {
			return l, err
		}
	}
	return l, nil
}
