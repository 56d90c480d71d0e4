package explain

import (
	"fmt"
	"io"
	"strings"
	"time"
)

// WriteText writes a story for people: the steps in order, what was believed under
// each, and the cause.
func (s *Timeline) WriteText(w io.Writer) error {
	var b strings.Builder
	fmt.Fprintf(&b, "request %s at %s\n\n", s.Request, s.Daemon)
	start := s.Steps[0].Line.Time
	for _, step := range s.Steps {
		fmt.Fprintf(&b, "%8.3f s  %s\n", step.Line.Time.Sub(start).Seconds(), step.Line.brief())
		for _, belief := range step.CachedState {
			fmt.Fprintf(&b, "             %-28s %s, known for %s\n", belief.Subject, belief.Line.brief(), belief.Age.Round(time.Millisecond))
		}
	}
	fmt.Fprintf(&b, "\ncause: %s (%s)\n", s.Cause.Summary, s.Cause.Kind)
	if s.Cause.Next != "" {
		fmt.Fprintf(&b, "look at: %s\n", s.Cause.Next)
	}
	_, err := io.WriteString(w, b.String())
	return err
}

// brief is a line in short: its event and the fields that it has.
func (x *Line) brief() string {
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
