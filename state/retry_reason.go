package state

// RetryReason is why a request is retried. The set is closed; each value is a
// label value of a counter in docs/COUNTERS.md.
type RetryReason string

// The values of RetryReason.
const (
	RetryNotStarted       RetryReason = "unstarted"         // the backend server proved that it did not start the attempt
	RetryStageFailed      RetryReason = "stage_failed"      // a stage died or lost its KV cache
	RetrySilentConnection RetryReason = "silent_connection" // a connection became unresponsive
	RetryStageUnknown     RetryReason = "stage_unknown"     // a stage no longer knows the attempt
	RetrySlotLost         RetryReason = "slot_lost"         // the slot's home daemon died or withdrew the slot
	RetryTakeover         RetryReason = "takeover"          // the entry daemon died and its attempt can't be resumed
)

// RetryReasons returns every RetryReason once.
func RetryReasons() []RetryReason {
	return []RetryReason{
		RetryNotStarted, RetryStageFailed, RetrySilentConnection,
		RetryStageUnknown, RetrySlotLost, RetryTakeover,
	}
}
