package scenario

import (
	"fmt"
	"maps"
	"slices"
	"strings"
	"time"

	"github.com/cockroachdb/datadriven"

	"github.com/hibiscuswick/hibiscuswick/coordination/documents"
	"github.com/hibiscuswick/hibiscuswick/state"
)

// Script runs the commands of one file.
type Script struct {
	w *Simulation
}

// command is one command of the language.
type command func(w *Simulation, a args) error

var commands = map[string]command{
	"submit":  submit,
	"attach":  attach,
	"cancel":  cancel,
	"run":     letRun,
	"kill":    kill,
	"start":   start,
	"pause":   pause,
	"wake":    wake,
	"cut":     cut,
	"heal":    heal,
	"leave":   leave,
	"next":    next,
	"store":   storeCommand,
	"edit":    edit,
	"answers": answers,
	"force":   force,
}

// Commands lists the names of all commands, in order.
func Commands() []string {
	names := append(slices.Collect(maps.Keys(commands)), siteCommand)
	slices.Sort(names)
	return names
}

// siteCommand is the first command of each script.
const siteCommand = "site"

// Run runs one command and returns what it prints. A mistake in the script is
// printed as a line that begins with "error:".
func (s *Script) Run(d *datadriven.TestData) string {
	a := args{d: d}
	if d.Cmd == siteCommand {
		l, err := layout(a)
		if err != nil {
			return fail(err)
		}
		s.w = New(l)
		return ""
	}
	c, ok := commands[d.Cmd]
	switch {
	case !ok:
		return fail(fmt.Errorf("unknown command %q", d.Cmd))
	case s.w == nil:
		return fail(fmt.Errorf("the first command is site"))
	}
	if err := c(s.w, a); err != nil {
		return fail(err)
	}
	out := strings.Join(s.w.out, "\n")
	s.w.out = nil
	if out != "" {
		out += "\n"
	}
	return out
}

func fail(err error) string { return "error: " + err.Error() + "\n" }

// longest bounds a run that waits for something.
const longest = time.Minute

func letRun(w *Simulation, a args) error {
	span, err := a.duration("for", 0)
	if err != nil {
		return err
	}
	tokens, err := a.number("tokens", -1)
	if err != nil {
		return err
	}
	until := a.text("until", "")
	if until == "" {
		w.runUntil(w.now.Add(span), func() bool { return false })
		return nil
	}
	c := w.caller(until)
	if c == nil {
		return fmt.Errorf("until=%s names no request", until)
	}
	reached := w.runUntil(w.now.Add(longest), func() bool {
		return c.outcome != "" || tokens >= 0 && c.seen >= tokens
	})
	if !reached {
		w.say("%s still waits", until)
	}
	return nil
}

func edit(w *Simulation, a args) error {
	n, err := a.node(w)
	if err != nil {
		return err
	}
	base, err := a.number("base", 0)
	if err != nil {
		return err
	}
	if n.docs == nil {
		return fmt.Errorf("this site keeps no documents; begin with: site documents")
	}
	n.edit(documents.SubmitEdit{
		Service: state.ServiceID(a.word(0)), Base: state.DocumentVersion(base),
		EditID: a.text("id", "edit"), Text: []byte(a.text("text", "")),
	})
	return nil
}

// force lists the versions in force at each daemon that lives.
func force(w *Simulation, _ args) error {
	for _, n := range w.nodes {
		if n.docs == nil || n.dead {
			continue
		}
		v := n.docs.ActiveVersions()
		line := n.name
		for _, id := range sortedServices(v) {
			line += fmt.Sprintf(" %s=%d", id, v[id])
		}
		if n.docs.Isolated() {
			line += " isolated"
		}
		w.out = append(w.out, line)
	}
	return nil
}

// answers lists what each caller has, and how often its request truly began.
func answers(w *Simulation, _ args) error {
	for _, c := range w.callers {
		outcome := c.outcome
		if outcome == "" {
			outcome = "no outcome"
		}
		w.out = append(w.out, fmt.Sprintf("%s: %d tokens, %s; its key began %d times",
			c.name, c.seen, outcome, w.books.executions(state.RequestID(c.name))))
	}
	return nil
}
