package controller

import "github.com/hibiscuswick/hibiscuswick/state"

// RequestCountQuery asks a daemon how many requests run on replicas that it is
// the home of.
type RequestCountQuery struct {
	Replicas []state.ReplicaID `msgpack:"replicas"`
}

// RequestCountReply answers a RequestCountQuery for the replicas that the daemon
// knows.
type RequestCountReply struct {
	Counts []ReplicaCount `msgpack:"counts"`
}

// ReplicaCount is how many requests hold a grant on a replica.
type ReplicaCount struct {
	Replica state.ReplicaID `msgpack:"replica"`
	Count   int             `msgpack:"count"`
}
