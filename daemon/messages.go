package daemon

import (
	"context"
	"fmt"

	"github.com/hibiscuswick/hibiscuswick/coordination/catalog"
	"github.com/hibiscuswick/hibiscuswick/coordination/claims"
	"github.com/hibiscuswick/hibiscuswick/coordination/controller"
	"github.com/hibiscuswick/hibiscuswick/coordination/documents"
	"github.com/hibiscuswick/hibiscuswick/coordination/home"
	"github.com/hibiscuswick/hibiscuswick/coordination/lease"
	"github.com/hibiscuswick/hibiscuswick/coordination/limit"
	"github.com/hibiscuswick/hibiscuswick/coordination/membership"
	"github.com/hibiscuswick/hibiscuswick/coordination/quarantine"
	"github.com/hibiscuswick/hibiscuswick/coordination/request"
	"github.com/hibiscuswick/hibiscuswick/coordination/retry"
	"github.com/hibiscuswick/hibiscuswick/coordination/weights"
	"github.com/hibiscuswick/hibiscuswick/protocol/peer"
	"github.com/hibiscuswick/hibiscuswick/protocol/platform"
	"github.com/hibiscuswick/hibiscuswick/protocol/streams"
	"github.com/hibiscuswick/hibiscuswick/state"
)

// First message kind of each family. A message's kind never changes.
const (
	kindMembership peer.Kind = 100
	kindDocuments  peer.Kind = 200
	kindHome       peer.Kind = 300
	kindClaims     peer.Kind = 400
	kindStreams    peer.Kind = 500
	kindPlatform   peer.Kind = 600
	kindLimits     peer.Kind = 700
	kindCatalog    peer.Kind = 800
	kindLeases     peer.Kind = 900
	kindWeights    peer.Kind = 1000
	kindQuarantine peer.Kind = 1100
	kindRetries    peer.Kind = 1200
)

// newRegistry registers every message between daemons. New ones are added at
// the end of their family.
func newRegistry() *peer.Registry {
	r := peer.NewRegistry()
	peer.RegisterMembership(r, kindMembership)

	peer.Register[documents.Digest](r, kindDocuments)
	peer.Register[documents.Announce](r, kindDocuments+1)
	peer.Register[documents.Docs](r, kindDocuments+2)
	peer.Register[documents.Pull](r, kindDocuments+3)
	peer.Register[documents.Versions](r, kindDocuments+4)
	peer.Register[documents.VersionRequest](r, kindDocuments+5)
	peer.Register[documents.VersionResponse](r, kindDocuments+6)

	peer.Register[home.SlotRequest](r, kindHome)
	peer.Register[home.SlotGrant](r, kindHome+1)
	peer.Register[home.SlotRefusal](r, kindHome+2)
	peer.Register[home.SlotRelease](r, kindHome+3)
	peer.Register[home.CancelSlotRequest](r, kindHome+4)
	peer.Register[home.NotHome](r, kindHome+5)
	peer.Register[home.Renewal](r, kindHome+6)
	peer.Register[home.ReportQuery](r, kindHome+7)
	peer.Register[home.GrantReport](r, kindHome+8)
	peer.Register[home.ExclusiveEnded](r, kindHome+9)

	peer.Register[claims.WriteRequest](r, kindClaims)
	peer.Register[claims.WriteReply](r, kindClaims+1)

	peer.Register[streams.Register](r, kindStreams)
	peer.Register[streams.Lookup](r, kindStreams+1)
	peer.Register[streams.LookupResult](r, kindStreams+2)
	peer.Register[streams.Pull](r, kindStreams+3)
	peer.Register[streams.PullResult](r, kindStreams+4)
	peer.Register[streams.CancelRequest](r, kindStreams+5)
	peer.Register[streams.CancelResult](r, kindStreams+6)

	peer.Register[platform.InstanceListRequest](r, kindPlatform)
	peer.Register[platform.InstanceListPage](r, kindPlatform+1)

	peer.Register[quarantine.FactUpdate](r, kindQuarantine)
	peer.Register[quarantine.Ack](r, kindQuarantine+1)
	peer.Register[quarantine.FactDigest](r, kindQuarantine+2)

	peer.Register[limit.Report](r, kindLimits)
	peer.Register[limit.Grant](r, kindLimits+1)
	registerPlacement(r)

	peer.Register[retry.LoanRequest](r, kindRetries)
	peer.Register[retry.LoanReply](r, kindRetries+1)
	return r
}

// registerPlacement registers the messages on replica tables, leases and
// weights.
func registerPlacement(r *peer.Registry) {
	peer.Register[catalog.Versions](r, kindCatalog)
	peer.Register[catalog.Pull](r, kindCatalog+1)
	peer.Register[catalog.Delta](r, kindCatalog+2)

	peer.Register[lease.Handoff](r, kindLeases)
	peer.Register[controller.RequestCountQuery](r, kindLeases+1)
	peer.Register[controller.RequestCountReply](r, kindLeases+2)

	peer.Register[weights.ShareRequest](r, kindWeights)
	peer.Register[weights.Grant](r, kindWeights+1)
}

// send queues a message for the daemon at address. A message that can't be sent
// is dropped; the protocols tolerate the loss of any message.
func (d *Daemon) send(address string, msg any) {
	if address == "" {
		return
	}
	_ = d.node.Send(address, msg)
}

// handleMessage passes a message of another daemon to its component.
func (d *Daemon) handleMessage(from state.Member, msg any) {
	c := d.control
	c.post(func() {
		switch msg := msg.(type) {
		case membership.Message:
			c.members.step(membership.Received{From: from, Msg: msg})
		case documents.Message:
			c.documents.step(documents.Received{From: from, Msg: msg})
		case home.Message:
			c.slots.handleMessage(from, msg)
		case limit.Message:
			c.limits.step(limit.Received{From: from, Msg: msg})
		case quarantine.Message:
			c.quarantine.step(quarantine.Received{From: from, Msg: msg})
		case catalog.Message:
			c.catalog.step(catalog.Received{From: from, Msg: msg})
		case lease.Message:
			c.leases.step(lease.Received{From: from, Msg: msg})
		case weights.ShareRequest:
			c.weights.handleRequest(from, msg)
		case weights.Grant:
			c.weights.handleGrant(msg)
		case streams.Register:
			c.streams.put(msg.Record)
		}
	})
}

// handleCall answers a call of another daemon.
func (d *Daemon) handleCall(ctx context.Context, _ state.Member, msg any) (any, error) {
	switch msg := msg.(type) {
	case claims.WriteRequest:
		return d.control.batcher.serve(ctx, msg)
	case streams.Lookup:
		found, _ := callControl(ctx, d.control, func() streams.LookupResult {
			rec, known := d.control.streams.records.Get(d.control.now, msg.Request)
			return streams.LookupResult{Known: known, Record: rec}
		})
		return found, nil
	case controller.RequestCountQuery:
		reply, _ := callControl(ctx, d.control, func() controller.RequestCountReply { return d.control.slots.requestCounts(msg) })
		return reply, nil
	case platform.InstanceListRequest:
		reply, _ := callControl(ctx, d.control, func() platform.InstanceListPage { return d.control.instances.listRows(msg.From) })
		return reply, nil
	case retry.LoanRequest:
		reply, _ := callControl(ctx, d.control, func() retry.LoanReply { return d.control.retries.lend(msg) })
		return reply, nil
	case streams.Pull:
		return d.servePull(ctx, msg), nil
	case streams.CancelRequest:
		r := d.requests.runner(msg.Request)
		if r != nil {
			r.post(request.Cancel{})
		}
		return streams.CancelResult{Known: r != nil}, nil
	}
	return nil, fmt.Errorf("%T is no call", msg)
}
