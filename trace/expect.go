package trace

import (
	"errors"
	"fmt"
	"strings"

	"github.com/samber/lo"

	"github.com/hibiscuswick/hibiscuswick/state"
)

// Expectation is a stated outcome, checked when the whole trace has been replayed:
// Count runs match all of the filters that are set. Where Run is set, Count may
// be left out and is 1.
type Expectation struct {
	Source  string          `json:"by,omitempty"`
	Run     uint64          `json:"run,omitempty"` // with By
	Request state.RequestID `json:"request,omitempty"`
	Service state.ServiceID `json:"service,omitempty"`
	Class   state.ClassID   `json:"class,omitempty"`

	// Outcome is completed, refused, failed, unknown, or unfinished for a run
	// whose daemon was gone before its end.
	Outcome string       `json:"outcome,omitempty"`
	Reason  state.Reason `json:"reason,omitempty"`
	Tokens  *int         `json:"tokens,omitempty"` // given to the caller by this run

	Count *int `json:"count,omitempty"`

	// Version states, instead of a count, the last version of Service that By,
	// or every life of a daemon, put into force.
	Version state.DocumentVersion `json:"version,omitempty"`
}

const outcomeUnfinished = "unfinished"

var outcomes = []string{outcomeCompleted, outcomeRefused, outcomeFailed, outcomeUnknown, outcomeUnfinished}

func (e *Expectation) check() error {
	switch {
	case e.Outcome != "" && !lo.Contains(outcomes, e.Outcome):
		return fmt.Errorf("expect: unknown outcome %q, want one of %s", e.Outcome, strings.Join(outcomes, ", "))
	case e.Version != 0 && (e.Service == "" || e.Count != nil || e.Run != 0):
		return errors.New("expect: a version goes with a service, without count and run")
	case e.Version == 0 && e.Count == nil && e.Run == 0:
		return errors.New("expect: count is missing")
	case e.Run != 0 && e.Source == "":
		return errors.New("expect: run needs by")
	}
	return nil
}

func (e *Expectation) want() int {
	if e.Count == nil {
		return 1
	}
	return *e.Count
}

// matches reports whether a run is one of those that e counts.
func (e *Expectation) matches(r *replayed) bool {
	return (e.Source == "" || e.Source == r.key.by) &&
		(e.Run == 0 || e.Run == r.key.run) &&
		(e.Request == "" || e.Request == r.spec.ID) &&
		(e.Service == "" || e.Service == r.spec.Service) &&
		(e.Class == "" || e.Class == r.spec.Class) &&
		(e.Outcome == "" || e.Outcome == r.outcome) &&
		(e.Reason == "" || e.Reason == r.reason) &&
		(e.Tokens == nil || *e.Tokens == r.tokens)
}

// String gives the filters, for a report.
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
