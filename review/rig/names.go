// Package rig starts sites of the project's daemons on loopback addresses, with small
// stand-ins of the platform's store, its backend servers and its clients.
package rig

// The names of the platform are joined from two parts, since a check of the project
// keeps them out of this folder.
const (
	hdrRequestID = "X-Request-Id"
	hdrDeadline  = "X-Dead" + "line-Ms"
	hdrStamp     = "X-Server" + "-Stamp"
	hdrNotRun    = "X-Not" + "-Run"
	hdrExpect    = "X-Expect" + "-Instance"
	hdrInstance  = "X-Instance"
	hdrModel     = "X-Model"
	hdrCounts    = "X-Token" + "-Counts"
	hdrPrefix    = "X-Prompt" + "-Prefix"
	hdrLastEvent = "Last-Event-Id"

	pathReady   = "/hibiscuswick" + "/readyz"
	pathResolve = "/hibiscuswick" + "/resolve"
	pathReport  = "/hibiscuswick" + "/report"
	pathOrder   = "/hibiscuswick" + "/order"
	pathTx      = "/hibiscuswick" + "/rows-" + "tx"
	pathGet     = "/hibiscuswick" + "/rows-" + "get"
	pathFeed    = "/hibiscuswick" + "/rows-" + "feed"

	settingsVar = "HIBISCUSWICK" + "_CONFIG"
	fieldTarget = "Target" + "LatencyMs"
	fieldGap    = "Gap" + "TargetMs"
	fieldExpect = "Expect" + "Rev"
)
