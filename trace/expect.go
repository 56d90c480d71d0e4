package trace

import (
	"errors"
	"fmt"
	"strings"

	"github.com/samber/lo"

	"github.com/hibiscuswick/hibiscuswick/state"
)

// Expectation is a stated outcome, which is checked after the complete trace has been
// replayed: Count runs match all filters that are set. If Run is set, Count is
// optional and defaults to 1.
type Expectation struct {
	Source  string          `json:"by,omitempty"`
	Run     uint64          `json:"run,omitempty"` // requires Source
	Request state.RequestID `json:"request,omitempty"`
	Service state.ServiceID `json:"service,omitempty"`
	Class   state.ClassID   `json:"class,omitempty"`

	// Outcome is completed, refused, failed, unknown, or unfinished for a run
	// whose daemon stopped before the run ended.
	Outcome string       `json:"outcome,omitempty"`
	Reason  state.Reason `json:"reason,omitempty"`
	Tokens  *int         `json:"tokens,omitempty"` // delivered to the caller by this run

	Count *int `json:"count,omitempty"`

	// Version states, instead of a count, the last version of Service that was
	// applied by Source, or by every incarnation of a daemon if Source is empty.
	Version state.DocumentVersion `json:"version,omitempty"`
}

const outcomeUnfinished = "unfinished"

var outcomes = []string{outcomeCompleted, outcomeRefused, outcomeFailed, outcomeUnknown, outcomeUnfinished}

func (e *Expectation) check() error {
	switch {
	case e.Outcome != "" && !lo.Contains(outcomes, e.Outcome):
		return fmt.Errorf("expect: unknown outcome %q, want one of %s", e.Outcome, strings.Join(outcomes, ", "))
	case e.Version != 0 && (e.Service == "" || e.Count != nil || e.Run != 0):
		return errors.New("expect: version requires service and excludes count and run")
	case e.Version == 0 && e.Count == nil && e.Run == 0:
		return errors.New("expect: count is missing")
	case e.Run != 0 && e.Source == "":
		return errors.New("expect: run requires by")
	}
	return nil
}

func (e *Expectation) wantCount() int {
	if e.Count == nil {
		return 1
	}
	return *e.Count
}

// matches reports whether a run matches all filters of e.
func (e *Expectation) matches(r *replayedRun) bool {
	return (e.Source == "" || e.Source == r.key.source) &&
		(e.Run == 0 || e.Run == r.key.run) &&
		(e.Request == "" || e.Request == r.spec.ID) &&
		(e.Service == "" || e.Service == r.spec.Service) &&
		(e.Class == "" || e.Class == r.spec.Class) &&
		(e.Outcome == "" || e.Outcome == r.outcome) &&
		(e.Reason == "" || e.Reason == r.reason) &&
		(e.Tokens == nil || *e.Tokens == r.tokens)
}

// String formats the filters for a report.
func (e *Expectation) String() string {
	var parts []string
	add := func(name, value string) {
		if value != "" {
			parts = append(parts, name+"="+value)
		}
	}
	add("by", e.Source)
	if e.Run != 0 {
		add("run", fmt.Sprint(e.Run))
	}
	add("request", string(e.Request))
	add("service", string(e.Service))
	add("class", string(e.Class))
	add("outcome", e.Outcome)
	add("reason", string(e.Reason))
	if e.Tokens != nil {
		add("tokens", fmt.Sprint(*e.Tokens))
	}
	return strings.Join(parts, " ")
}
