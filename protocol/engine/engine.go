// Package engine is the contract between hibiscuswick and one model engine:
// what each call asks, and what it proves when it succeeds, fails or is not
// answered. Another kind of engine is one more implementation of Engine.
//
// A request passes a replica's stages token by token. For each token the entry
// daemon runs one Step on each stage in order. The first stage's input for
// token 0 is the prompt; every other input is the output of the stage before,
// and for a later token's first stage the token just made.
package engine

import (
	"context"

	"github.com/hibiscuswick/hibiscuswick/state"
)

// StepRequest asks one stage to run its layers for one token of one attempt.
type StepRequest struct {
	Request state.RequestID  `json:"request"`
	Attempt state.Attempt    `json:"attempt"`
	Token   int              `json:"token"` // index within the answer, from 0
	Layers  state.LayerRange `json:"layers"`

	// Prompt is set on an attempt's first step in the first stage only. With
	// Given, the tokens that earlier attempts gave the caller, it rebuilds
	// the KV cache up to Token.
	Prompt      string  `json:"prompt,omitempty"`
	PriorTokens []int64 `json:"given,omitempty"`

	// Input is the activation of the stage before, or, on the first stage,
	// empty.
	Input []byte `json:"input,omitempty"`

	// Last is the token before Token, for the first stage of later tokens.
	LastToken int64 `json:"last"`

	// Life is the life of the engine's process that the step is meant for;
	// empty for any. An engine of another life answers StepNotRun: the bars
	// that a Resume set are gone with the process that held them.
	BootID string `json:"life,omitempty"`

	// Epoch is the stream owner's; see Engine.Resume.
	Epoch state.Epoch `json:"epoch"`

	Priority  int    `json:"priority"` // 0 goes first
	Adapter   string `json:"adapter,omitempty"`
	MaxTokens int    `json:"max_tokens"`
}

// StepStatus is what became of one step.
type StepStatus string

// The values of StepStatus.
const (
	// StepDone: the layers ran once for the token; Output holds the result.
	StepDone StepStatus = "done"
	// StepNotRun: the stage says that it did not run the step and will not.
	// It is proof.
	StepNotRun StepStatus = "not_run"
	// StepOvertaken: like StepNotRun, because another owner of the attempt
	// has barred the step's epoch. That owner may have run it.
	StepSuperseded StepStatus = "overtaken"
	// StepFailed: the stage may have run part of the step. Its KV cache for
	// the attempt is not to be used again.
	StepFailed StepStatus = "failed"
)

// StepResult is the answer to one StepRequest, in the same place of the batch.
type StepResult struct {
	Status StepStatus `json:"status"`
	Output []byte     `json:"output,omitempty"` // activation for the next stage
	Token  int64      `json:"token"`            // set by the last stage
	Final  bool       `json:"final"`            // set by the last stage: the answer ends here
	Detail string     `json:"detail,omitempty"`
}

// Held is what one stage holds of one attempt.
type AttemptState struct {
	// Life names the life of the engine's process, unlike any other life's.
	BootID string `json:"life"`

	Known     bool `json:"known"`
	NextToken int  `json:"next_token"` // the first token that it did not run
	Canceled  bool `json:"canceled"`

	// LastOutput is the activation of token NextToken-1, so that the next
	// stage can be given it without running this one again.
	LastOutput []byte `json:"last_output,omitempty"`

	// Tokens are the tokens made so far; only the last stage has them. Final
	// reports that the answer is whole.
	Tokens []int64 `json:"tokens,omitempty"`
	Final  bool    `json:"final"`
}

// Load is an engine's own report; it is older than it looks by the engine's
// reporting lag.
type Load struct {
	BootID  string `json:"life"` // of the process; see Held
	Running int    `json:"running"`
	Queued  int    `json:"queued"`
	Leaving bool   `json:"leaving"`
}

// CacheEvent tells that a prompt prefix entered or left an engine's cache.
// Events come late, and numbers in Seq may be missing.
type CacheEvent struct {
	Seq     uint64 `json:"seq"`
	Prefix  uint64 `json:"prefix"` // xxhash of the prefix block
	Evicted bool   `json:"evicted"`
}

// OrderKind says what an order changes.
type OrderKind string

// The values of OrderKind.
const (
	OrderLoad    OrderKind = "load"     // hold Layers of Model at Version with Adapters
	OrderUnload  OrderKind = "unload"   // hold nothing
	OrderSetRole OrderKind = "set_role" // change Role
)

// Order changes what an engine holds or does.
type Order struct {
	Kind          OrderKind           `json:"kind"`
	FencingNumber state.FencingNumber `json:"fencing"`
	Service       state.ServiceID     `json:"service"`
	Model         string              `json:"model"`
	Version       string              `json:"version"`
	Adapters      []string            `json:"adapters,omitempty"`
	Layers        state.LayerRange    `json:"layers"`
	Role          string              `json:"role,omitempty"`
}

// OrderStatus is what became of an order.
type OrderStatus string

// The values of OrderStatus.
const (
	OrderApplied OrderStatus = "applied"
	OrderStale   OrderStatus = "stale" // refused: a higher fencing number was seen
	OrderRefused OrderStatus = "refused"
)

// OrderResult answers an order with the engine's state after it.
type OrderResult struct {
	Status OrderStatus `json:"status"`
	State  State       `json:"state"`
	Detail string      `json:"detail,omitempty"`
}

// State is what an engine holds.
type State struct {
	Service       state.ServiceID     `json:"service"`
	Model         string              `json:"model"`
	Version       string              `json:"version"`
	Adapters      []string            `json:"adapters,omitempty"`
	Layers        state.LayerRange    `json:"layers"`
	Role          string              `json:"role,omitempty"`
	FencingNumber state.FencingNumber `json:"fencing"` // the highest seen, 0 where ignored
	Loading       bool                `json:"loading"`
}

// Engine is one model engine as seen by a daemon. All methods may be called by
// many goroutines at once.
//
// An error from any method means that the call was not answered. Whether it
// took effect is then unknown, unless NotSent(err) reports that not one byte
// left this daemon.
type Engine interface {
	// Step runs a batch; results[i] answers steps[i]. Steps of one attempt
	// never stand twice in a batch.
	Step(ctx context.Context, steps []StepRequest) ([]StepResult, error)

	// Resume asks what the stage holds of an attempt, and bars every step of
	// the attempt that carries an epoch below epoch: such a step is answered
	// StepOvertaken, even one that was sent before and arrives after. So what
	// Resume returns stays true until a step of this epoch is sent, and an
	// owner that was paused while another took its stream over can't run a
	// step. An epoch below one seen before is answered ErrEpoch.
	Resume(ctx context.Context, request state.RequestID, attempt state.Attempt, epoch state.Epoch) (AttemptState, error)

	// Cancel ends an attempt. When it succeeds, no step of the attempt runs
	// after it, even one that is still under way to the engine.
	Cancel(ctx context.Context, request state.RequestID, attempt state.Attempt) (AttemptState, error)

	// ExportKV and ImportKV move an attempt's cache between two engines that
	// hold the same layers.
	ExportKV(ctx context.Context, request state.RequestID, attempt state.Attempt) ([]byte, error)
	ImportKV(ctx context.Context, request state.RequestID, attempt state.Attempt, kv []byte) error

	// Load reports the engine's load, with a lag.
	Load(ctx context.Context) (Load, error)

	// CacheEvents returns events after a sequence number, late and with gaps.
	CacheEvents(ctx context.Context, after uint64) ([]CacheEvent, error)

	// Order carries out o. Engines that ignore fencing numbers apply orders
	// of any number.
	Order(ctx context.Context, o Order) (OrderResult, error)

	// State reads what the engine holds now.
	State(ctx context.Context) (State, error)
}

// Plain is one plain service as seen by a daemon.
type Plain interface {
	// Call runs one request. A PlainResult is proof that it ran; an error
	// leaves that unknown, unless NotSent(err).
	Call(ctx context.Context, c PlainCall) (PlainResult, error)
	Load(ctx context.Context) (Load, error)
}

// PlainCall is one request to a plain service.
type PlainCall struct {
	Request state.RequestID `json:"request"`
	Attempt state.Attempt   `json:"attempt"`
	Body    string          `json:"body"`
}

// PlainStatus is what became of a call.
type PlainStatus string

// The values of PlainStatus.
const (
	PlainDone   PlainStatus = "done"
	PlainNotRun PlainStatus = "not_run" // proof that it did not run
)

// PlainResult answers a PlainCall.
type PlainResult struct {
	Status PlainStatus `json:"status"`
	Body   string      `json:"body"`
}
