// Package trace records what a daemon's requests met, and replays it through a
// fresh core.
//
// A trace is JSON lines, described in docs/TRACES.md. It holds each event that
// was fed to a request's state machine with its time, and the actions that the
// machine returned. The machine is deterministic, so that Replay, which feeds
// the same events to new machines, gets the same actions as long as the
// decisions have not changed; it reports the first line where they differ.
// Lines with stated outcomes are checked against what the replay ended with.
//
// Prompts, outputs, token values and idempotency keys are replaced by digests
// under a salt that is not written down, since no decision depends on them.
package trace

//go:generate go run ./make testdata
