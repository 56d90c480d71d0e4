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

// Script runs the commands of one scenario file.
type Script struct {
	sim *Simulation
}

// command is one command of the scenario language.
type command func(sim *Simulation, a args) error

var commands = map[string]command{
	"submit":  submit,
	"attach":  attach,
	"cancel":  cancel,
	"run":     runCommand,
	"kill":    kill,
	"start":   start,
	"pause":   pause,
	"wake":    resume,
	"cut":     partition,
	"heal":    heal,
	"leave":   leave,
	"next":    setStepFault,
	"store":   storeCommand,
	"edit":    edit,
	"answers": listAnswers,
	"force":   listVersions,
}

// Commands lists the names of all commands, in order.
func Commands() []string {
	names := append(slices.Collect(maps.Keys(commands)), siteCommand)
	slices.Sort(names)
	return names
}

// siteCommand is the first command of each script.
const siteCommand = "site"

// Run executes one command and returns its output. An invalid command returns a
// line that begins with "error:".
func (s *Script) Run(d *datadriven.TestData) string {
	a := args{d: d}
	if d.Cmd == siteCommand {
		l, err := layout(a)
		if err != nil {
			return errorText(err)
		}
		s.sim = New(l)
		return ""
	}
	c, ok := commands[d.Cmd]
	switch {
	case !ok:
		return errorText(fmt.Errorf("unknown command %q", d.Cmd))
	case s.sim == nil:
		return errorText(fmt.Errorf("the first command must be site"))
	}
	if err := c(s.sim, a); err != nil {
		return errorText(err)
	}
	out := strings.Join(s.sim.output, "\n")
	s.sim.output = nil
	if out != "" {
		out += "\n"
	}
	return out
}

func errorText(err error) string { return "error: " + err.Error() + "\n" }

// maxRunTime bounds the virtual time of "run until=NAME".
const maxRunTime = time.Minute

func runCommand(sim *Simulation, a args) error {
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
		sim.runUntil(sim.now.Add(span), func() bool { return false })
		return nil
	}
	c := sim.caller(until)
	if c == nil {
		return fmt.Errorf("until=%s: no such request", until)
	}
	reached := sim.runUntil(sim.now.Add(maxRunTime), func() bool {
		return c.outcome != "" || tokens >= 0 && c.received >= tokens
	})
	if !reached {
		sim.printf("%s has not ended", until)
	}
	return nil
}

func edit(sim *Simulation, a args) error {
	n, err := a.node(sim)
	if err != nil {
		return err
	}
	base, err := a.number("base", 0)
	if err != nil {
		return err
	}
	if n.docs == nil {
		return fmt.Errorf("this site has no documents; start the script with: site documents")
	}
	n.edit(documents.SubmitEdit{
		Service: state.ServiceID(a.word(0)), Base: state.DocumentVersion(base),
		EditID: a.text("id", "edit"), Text: []byte(a.text("text", "")),
	})
	return nil
}

// listVersions prints the active document versions of each live daemon.
func listVersions(sim *Simulation, _ args) error {
	for _, n := range sim.nodes {
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
		sim.output = append(sim.output, line)
	}
	return nil
}

// listAnswers prints what each caller has received and how many attempts were
// started under its key.
func listAnswers(sim *Simulation, _ args) error {
	for _, c := range sim.callers {
		outcome := c.outcome
		if outcome == "" {
			outcome = "no outcome"
		}
		sim.output = append(sim.output, fmt.Sprintf("%s: %d tokens, %s; attempts under its key: %d",
			c.name, c.received, outcome, sim.ledger.attemptCount(state.RequestID(c.name))))
	}
	return nil
}
