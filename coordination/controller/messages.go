package controller

import "github.com/hibiscuswick/hibiscuswick/state"

// CountAsk asks a daemon how many requests run on replicas that it is home of.
type RequestCountQuery struct {
	Replicas []state.ReplicaID `msgpack:"replicas"`
}

// CountTold answers a CountAsk with the replicas that the daemon knows.
type RequestCountReply struct {
	Counts []ReplicaCount `msgpack:"counts"`
}

// ReplicaCount is how many requests hold a grant on a replica.
type ReplicaCount struct {
	Replica state.ReplicaID `msgpack:"replica"`
	Count   int             `msgpack:"count"`
}
