package engine

import "github.com/hibiscuswick/hibiscuswick/state"

// Paths of the HTTP/1.1 binding; see docs/PROTOCOLS.md.
const (
	PathStep        = "/v1/step"         // POST StepBatch, StepResults
	PathResume      = "/v1/resume"       // POST ResumeCall, Held
	PathCancel      = "/v1/cancel"       // POST AttemptCall, Held
	PathExportKV    = "/v1/kv/export"    // POST AttemptCall, KV
	PathImportKV    = "/v1/kv/import"    // POST KV, nothing
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

// StepResults answers a StepBatch, in its order.
type StepResults struct {
	Results []StepResult `json:"results"`
}

// AttemptCall names one attempt.
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

// KV is one attempt's cache on its way between two engines.
type KV struct {
	Request state.RequestID `json:"request"`
	Attempt state.Attempt   `json:"attempt"`
	KV      []byte          `json:"kv"`
}

// CacheEvents answers a cache event call.
type CacheEvents struct {
	Events []CacheEvent `json:"events"`
}

// Fault is the body of every answer that is not 200.
type Fault struct {
	Error string `json:"error"`
}
