// Package engine defines the interface to a model engine: the calls, and what
// the success, the failure and a missing answer of each call prove. Support for
// another kind of engine is another implementation of Engine.
//
// A request passes through the stages of a replica token by token. For each
// token the entry daemon runs one Step on each stage in order. The input of the
// first stage is the prompt for token 0 and the previous token after that; the
// input of every other stage is the output of the stage before it.
package engine

import (
	"context"

	"github.com/hibiscuswick/hibiscuswick/state"
)

// StepRequest makes one stage run its layers for one token of one attempt.
type StepRequest struct {
	Request state.RequestID  `json:"request"`
	Attempt state.Attempt    `json:"attempt"`
	Token   int              `json:"token"` // index within the answer, from 0
	Layers  state.LayerRange `json:"layers"`

	// Prompt is set only on the first step of an attempt on the first stage.
	// Together with PriorTokens, the tokens of earlier attempts that were
	// delivered to the caller, it rebuilds the KV cache up to Token.
	Prompt      string  `json:"prompt,omitempty"`
	PriorTokens []int64 `json:"given,omitempty"`

	// Input is the activation from the previous stage; empty on the first stage.
	Input []byte `json:"input,omitempty"`

	// LastToken is the value of the token before Token; used by the first stage
	// for all tokens but the first.
	LastToken int64 `json:"last"`

	// BootID is the boot ID of the engine process that is to run the step; empty
	// for any. An engine with another boot ID answers StepNotRun, since the
	// fences that Resume set are lost when the process ends.
	BootID string `json:"life,omitempty"`

	// Epoch is the epoch of the stream's owner; see Engine.Resume.
	Epoch state.Epoch `json:"epoch"`

	Priority  int    `json:"priority"` // 0 is the most urgent
	Adapter   string `json:"adapter,omitempty"`
	MaxTokens int    `json:"max_tokens"`
}

// StepStatus is the result of one step.
type StepStatus string

// The values of StepStatus.
const (
	// StepDone: the layers ran exactly once for the token; Output holds the
	// result.
	StepDone StepStatus = "done"
	// StepNotRun proves that the stage did not run the step and will not run it.
	StepNotRun StepStatus = "not_run"
	// StepSuperseded is like StepNotRun, but another owner of the attempt has
	// fenced the epoch of the step. That owner may have run the step.
	StepSuperseded StepStatus = "overtaken"
	// StepFailed: the stage may have run part of the step. Its KV cache for
	// the attempt must not be used again.
	StepFailed StepStatus = "failed"
)

// StepResult is the answer to the StepRequest at the same index of the batch.
type StepResult struct {
	Status StepStatus `json:"status"`
	Output []byte     `json:"output,omitempty"` // activation for the next stage
	Token  int64      `json:"token"`            // set by the last stage
	Final  bool       `json:"final"`            // set by the last stage: the answer ends with this token
	Detail string     `json:"detail,omitempty"`
}

// AttemptState is the state of one attempt on one stage.
type AttemptState struct {
	// BootID identifies the process of the engine. It is unique.
	BootID string `json:"life"`

	Known     bool `json:"known"`
	NextToken int  `json:"next_token"` // the first token that the stage did not run
	Canceled  bool `json:"canceled"`

	// LastOutput is the activation of token NextToken-1, so that it can be sent
	// to the next stage without running this one again.
	LastOutput []byte `json:"last_output,omitempty"`

	// Tokens are the tokens generated so far; only the last stage has them.
	// Final reports that the answer is complete.
	Tokens []int64 `json:"tokens,omitempty"`
	Final  bool    `json:"final"`
}

// Load is a load report of an engine. It lags behind by the reporting delay of
// the engine.
type Load struct {
	BootID  string `json:"life"` // see AttemptState
	Running int    `json:"running"`
	Queued  int    `json:"queued"`
	Leaving bool   `json:"leaving"`
}

// CacheEvent reports that a prompt prefix was added to an engine's cache or
// evicted from it. Events arrive late, and sequence numbers may be missing.
type CacheEvent struct {
	Seq     uint64 `json:"seq"`
	Prefix  uint64 `json:"prefix"` // xxhash of the prefix block
	Evicted bool   `json:"evicted"`
}

// OrderKind is the kind of change that an order makes.
type OrderKind string

// The values of OrderKind.
const (
	OrderLoad    OrderKind = "load"     // hold Layers of Model at Version with Adapters
	OrderUnload  OrderKind = "unload"   // hold nothing
	OrderSetRole OrderKind = "set_role" // change Role
)

// Order changes the layers or the role of an engine.
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

// OrderStatus is the result of an order.
type OrderStatus string

// The values of OrderStatus.
const (
	OrderApplied OrderStatus = "applied"
	OrderStale   OrderStatus = "stale" // refused: the engine has seen a higher fencing number
	OrderRefused OrderStatus = "refused"
)

// OrderResult is the answer to an order, with the state of the engine after it.
type OrderResult struct {
	Status OrderStatus `json:"status"`
	State  State       `json:"state"`
	Detail string      `json:"detail,omitempty"`
}

// State is what an engine currently holds.
type State struct {
	Service       state.ServiceID     `json:"service"`
	Model         string              `json:"model"`
	Version       string              `json:"version"`
	Adapters      []string            `json:"adapters,omitempty"`
	Layers        state.LayerRange    `json:"layers"`
	Role          string              `json:"role,omitempty"`
	FencingNumber state.FencingNumber `json:"fencing"` // the highest seen; 0 if the engine ignores them
	Loading       bool                `json:"loading"`
}

// Engine is the client of one model engine. All methods are safe for concurrent
// use.
//
// An error from any method means that the call was not answered. It is then
// unknown whether the call took effect, unless NotSent(err) reports that no byte
// left this daemon.
type Engine interface {
	// Step runs a batch; results[i] is the answer to steps[i]. A batch contains
	// at most one step of each attempt.
	Step(ctx context.Context, steps []StepRequest) ([]StepResult, error)

	// Resume returns the state of an attempt and fences all lower epochs: a step
	// with an epoch below epoch is answered StepSuperseded, even if it was sent
	// before Resume and arrives after it. The returned state therefore holds
	// until a step with this epoch is sent, and an owner that was paused while
	// another one took over its stream can't run steps. Resume returns
	// ErrStaleEpoch if the engine has seen a higher epoch.
	Resume(ctx context.Context, request state.RequestID, attempt state.Attempt, epoch state.Epoch) (AttemptState, error)

	// Cancel ends an attempt. After it succeeds, no step of the attempt runs, not
	// even one that is still in flight to the engine.
	Cancel(ctx context.Context, request state.RequestID, attempt state.Attempt) (AttemptState, error)

	// ExportKV and ImportKV move the KV cache of an attempt between two engines
	// that hold the same layers.
	ExportKV(ctx context.Context, request state.RequestID, attempt state.Attempt) ([]byte, error)
	ImportKV(ctx context.Context, request state.RequestID, attempt state.Attempt, kv []byte) error

	// Load returns the load of the engine, with a delay.
	Load(ctx context.Context) (Load, error)

	// CacheEvents returns the events after a sequence number. They arrive late
	// and with gaps.
	CacheEvents(ctx context.Context, after uint64) ([]CacheEvent, error)

	// Order makes the engine carry out o. Engines that ignore fencing numbers
	// apply orders with any number.
	Order(ctx context.Context, o Order) (OrderResult, error)

	// State returns the current state of the engine.
	State(ctx context.Context) (State, error)
}

// Plain is the client of one server of a plain service.
type Plain interface {
	// Call runs one request. A PlainResult proves whether it ran; after an error
	// that is unknown, unless NotSent(err) reports true.
	Call(ctx context.Context, c PlainCall) (PlainResult, error)
	Load(ctx context.Context) (Load, error)
}

// PlainCall is one request to a plain service.
type PlainCall struct {
	Request state.RequestID `json:"request"`
	Attempt state.Attempt   `json:"attempt"`
	Body    string          `json:"body"`
}

// PlainStatus is the result of a call.
type PlainStatus string

// The values of PlainStatus.
const (
	PlainDone   PlainStatus = "done"
	PlainNotRun PlainStatus = "not_run" // proves that it did not run
)

// PlainResult is the answer to a PlainCall.
type PlainResult struct {
	Status PlainStatus `json:"status"`
	Body   string      `json:"body"`
}
