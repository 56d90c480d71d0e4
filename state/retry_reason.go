package state

// RetryReason is the closed list of why a request is tried once more. Each has a
// counter of the same name (docs/COUNTERS.md).
type RetryReason string

// The values of RetryReason.
const (
	RetryNotStarted       RetryReason = "unstarted"         // the backend server proved that it did not begin
	RetryStageFailed      RetryReason = "stage_failed"      // a stage died or lost its KV cache
	RetrySilentConnection RetryReason = "silent_connection" // a connection stopped answering
	RetryStageUnknown     RetryReason = "stage_unknown"     // a stage no longer knows the attempt
	RetrySlotLost         RetryReason = "slot_lost"         // the slot's home died or took it back
	RetryTakeover         RetryReason = "takeover"          // the entry daemon died and its attempt can't be resumed
)

// RetryReasons lists every RetryReason once.
func RetryReasons() []RetryReason {
	return []RetryReason{
		RetryNotStarted, RetryStageFailed, RetrySilentConnection,
		RetryStageUnknown, RetrySlotLost, RetryTakeover,
	}
}
