package front

import "github.com/hibiscuswick/hibiscuswick/protocol/caller"

// Aliases of the wire types, which are defined in protocol/caller.
type (
	// Accepted is caller.AcceptedEvent.
	Accepted = caller.AcceptedEvent
	// Token is caller.TokenEvent.
	Token = caller.TokenEvent
	// End is caller.EndEvent.
	End = caller.EndEvent
	// Ending is caller.Ending.
	Ending = caller.Ending
	// Addresses is caller.AddressesBody.
	Addresses = caller.AddressesBody
	// Submit is caller.SubmitBody.
	Submit = caller.SubmitBody
	// Status is caller.StatusBody.
	Status = caller.StatusBody
	// Problem is caller.Problem.
	Problem = caller.Problem
)

// Paths, headers, events and outcomes of protocol/caller.
const (
	PathAddresses = caller.PathAddresses
	PathRequests  = caller.PathRequests
	RequestHeader = caller.RequestHeader
	EventAccepted = caller.EventAccepted
	EventToken    = caller.EventToken
	EventEnd      = caller.EventEnd
	EndCompleted  = caller.EndCompleted
	EndRefused    = caller.EndRefused
	EndFailed     = caller.EndFailed
	EndUnknown    = caller.EndUnknown
)
