package engine

import "github.com/hibiscuswick/hibiscuswick/state"

// Paths of the HTTP/1.1 binding, each with its method, request body and response
// body; see docs/PROTOCOLS.md.
const (
	PathStep        = "/v1/step"         // POST StepBatch, StepResults
	PathResume      = "/v1/resume"       // POST ResumeCall, AttemptState
	PathCancel      = "/v1/cancel"       // POST AttemptCall, AttemptState
	PathExportKV    = "/v1/kv/export"    // POST AttemptCall, KV
	PathImportKV    = "/v1/kv/import"    // POST KV, empty response
	PathLoad        = "/v1/load"         // GET, Load
	PathCacheEvents = "/v1/cache-events" // GET ?after=seq, CacheEvents
	PathOrder       = "/v1/order"        // POST Order, OrderResult
	PathState       = "/v1/state"        // GET, State
	PathCall        = "/v1/call"         // POST PlainCall, PlainResult; plain services only
)

// StepBatch is the body of a step call.
type StepBatch struct {
	Steps []StepRequest `json:"steps"`
}

// StepResults is the response to a StepBatch, in the order of its steps.
type StepResults struct {
	Results []StepResult `json:"results"`
}

// AttemptCall is the body of a call that concerns one attempt.
type AttemptCall struct {
	Request state.RequestID `json:"request"`
	Attempt state.Attempt   `json:"attempt"`
}

// ResumeCall is the body of a resume call.
type ResumeCall struct {
	Request state.RequestID `json:"request"`
	Attempt state.Attempt   `json:"attempt"`
	Epoch   state.Epoch     `json:"epoch"`
}

// KV is the KV cache of one attempt in transfer between two engines.
type KV struct {
	Request state.RequestID `json:"request"`
	Attempt state.Attempt   `json:"attempt"`
	KV      []byte          `json:"kv"`
}

// CacheEvents is the response to a cache event call.
type CacheEvents struct {
	Events []CacheEvent `json:"events"`
}

// Fault is the body of every response with a status other than 200.
type Fault struct {
	Error string `json:"error"`
}
