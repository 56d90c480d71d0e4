// Package trace records the events of a daemon's requests and replays them through
// the current coordination core.
//
// A trace is a file of JSON lines, described in docs/TRACES.md. It contains each
// event that was passed to a request's state machine, with its time, and the actions
// that the state machine returned. The state machine is deterministic: Replay passes
// the same events to new state machines and gets the same actions, unless a decision
// has changed. It reports the first line that differs. Lines with stated outcomes are
// checked against the results of the replay.
//
// Prompts, outputs, token values and idempotency keys are replaced by digests under
// a salt that is not stored, because no decision depends on them.
package trace

//go:generate go run ./make testdata
