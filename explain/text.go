package explain

import (
	"fmt"
	"io"
	"strings"
	"time"
)

// WriteText writes the timeline for human readers: the steps in order, the cached state
// below each step, and the cause.
func (t *Timeline) WriteText(w io.Writer) error {
	var b strings.Builder
	fmt.Fprintf(&b, "request %s at %s\n\n", t.Request, t.Daemon)
	start := t.Steps[0].Line.Time
	for _, step := range t.Steps {
		fmt.Fprintf(&b, "%8.3f s  %s\n", step.Line.Time.Sub(start).Seconds(), step.Line.summary())
		for _, c := range step.CachedState {
			fmt.Fprintf(&b, "             %-28s %s, known for %s\n", c.Subject, c.Line.summary(), c.Age.Round(time.Millisecond))
		}
	}
	fmt.Fprintf(&b, "\ncause: %s (%s)\n", t.Cause.Summary, t.Cause.Kind)
	if t.Cause.Next != "" {
		fmt.Fprintf(&b, "look at: %s\n", t.Cause.Next)
	}
	_, err := io.WriteString(w, b.String())
	return err
}

// summary returns the event of a line and the fields that are set.
func (x *Line) summary() string {
	parts := []string{x.Event}
	add := func(name, value string) {
		if value != "" {
			parts = append(parts, name+"="+value)
		}
	}
	add("server", x.Backend)
	add("address", x.Address)
	add("layers", x.Layers)
	add("detail", x.Detail)
	add("cause", strings.ReplaceAll(x.Cause, "\n", ": "))
	if x.Count > 0 {
		add("count", fmt.Sprint(x.Count))
	}
	if x.Version > 0 {
		add("version", fmt.Sprint(x.Version))
	}
	return strings.Join(parts, " ")
}
