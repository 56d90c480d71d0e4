package weights

import (
	"cmp"
	"slices"
	"time"

	"github.com/samber/lo"

	"github.com/hibiscuswick/hibiscuswick/coordination/lease"
	"github.com/hibiscuswick/hibiscuswick/state"
)

// LeaseService is the service ID under which the allocator's lease is kept among the leases of
// services.
const LeaseService state.ServiceID = "~weights"

// Config must be the same on all daemons.
type Config struct {
	PoolSize      int           // concurrent loads beyond those that need no share
	ShareTTL      time.Duration // how long a share is valid
	MaxClockDrift float64       // bound of a clock's rate error, as a fraction
	RenewInterval time.Duration // time between two requests of a Requester
}

// DefaultConfig returns the configuration of a pool of the given size.
func DefaultConfig(pool int) Config {
	return Config{PoolSize: pool, ShareTTL: 9 * time.Second, MaxClockDrift: 0.01, RenewInterval: 3 * time.Second}
}

// userTTL is how long a user may rely on a share, counted from its request.
func (c Config) userTTL() time.Duration {
	return time.Duration(float64(c.ShareTTL) * (1 - c.MaxClockDrift) / (1 + c.MaxClockDrift))
}

// ShareRequest requests a share for one service.
type ShareRequest struct {
	Service state.ServiceID `msgpack:"service"`
	Seq     uint64          `msgpack:"seq"`   // returned in the Grant
	Wanted  int             `msgpack:"want"`  // loads that run or wait
	InUse   int             `msgpack:"using"` // loads that run on a share now
}

// Grant answers a ShareRequest.
type Grant struct {
	Service state.ServiceID `msgpack:"service"`
	Seq     uint64          `msgpack:"seq"`
	Slots   int             `msgpack:"slots"`
}

// share is the allocator's state of one service.
type share struct {
	want  int
	slots int
	until time.Time
}

// Allocator grants shares while its daemon holds the lease.
type Allocator struct {
	cfg        Config
	status     lease.Status
	grantsFrom time.Time // until then shares of former allocators may be valid
	shares     map[state.ServiceID]*share
}

// NewAllocator returns an allocator without the lease.
func NewAllocator(cfg Config) *Allocator {
	return &Allocator{cfg: cfg, shares: make(map[state.ServiceID]*share)}
}

// SetLeaseStatus updates the status of the lease named LeaseService.
func (a *Allocator) SetLeaseStatus(now time.Time, s lease.Status) {
	if s.State != lease.None && s.TermID != a.status.TermID {
		a.shares = make(map[state.ServiceID]*share)
		a.grantsFrom = now.Add(a.cfg.ShareTTL)
	}
	a.status = s
}

// HandleRequest answers one request; false means that this daemon cannot grant shares now.
func (a *Allocator) HandleRequest(now time.Time, q ShareRequest) (Grant, bool) {
	if a.status.State != lease.Held || !now.Before(a.status.Until) {
		return Grant{}, false
	}
	sh, ok := a.shares[q.Service]
	if !ok {
		sh = &share{}
		a.shares[q.Service] = sh
	}
	sh.want = q.Wanted
	if now.Before(a.grantsFrom) {
		// Loads that run on a former allocator's share are counted, not granted.
		sh.slots, sh.until = q.InUse, now.Add(a.cfg.ShareTTL)
		return Grant{Service: q.Service, Seq: q.Seq}, true
	}
	others := 0
	for id, o := range a.shares {
		switch {
		case id == q.Service:
		case now.Before(o.until):
			others += o.slots
		default:
			delete(a.shares, id)
		}
	}
	fair := max(q.InUse, a.fairShare(q.Service))
	sh.slots = max(0, min(q.Wanted, fair, a.cfg.PoolSize-others))
	sh.until = now.Add(a.cfg.ShareTTL)
	return Grant{Service: q.Service, Seq: q.Seq, Slots: sh.slots}, true
}

// fairShare is the service's part of the pool if no service gets more than it wants and what
// services with small demand leave is divided among the rest.
func (a *Allocator) fairShare(service state.ServiceID) int {
	ids := lo.Keys(a.shares)
	slices.SortFunc(ids, func(x, y state.ServiceID) int {
		return cmp.Or(cmp.Compare(a.shares[x].want, a.shares[y].want), cmp.Compare(x, y))
	})
	left := a.cfg.PoolSize
	for i, id := range ids {
		rest := len(ids) - i
		part := min(a.shares[id].want, (left+rest-1)/rest)
		if id == service {
			return part
		}
		left -= part
	}
	return 0
}

// Requester holds one service's share for its controller.
type Requester struct {
	cfg     Config
	service state.ServiceID
	seq     uint64
	sent    time.Time
	next    time.Time
	want    int
	slots   int
	until   time.Time
}

// NewRequester returns a requester without a share.
func NewRequester(cfg Config, service state.ServiceID) *Requester {
	return &Requester{cfg: cfg, service: service}
}

// SetWanted sets the number of slots that the controller wants now.
func (r *Requester) SetWanted(now time.Time, slots int) {
	if slots > r.want {
		r.next = now
	}
	r.want = slots
}

// NextRequest returns the request to send to the allocator now, if one is due. using is the number
// of loads that run on the share.
func (r *Requester) NextRequest(now time.Time, using int) (ShareRequest, bool) {
	if now.Before(r.next) || (r.want == 0 && using == 0 && r.slots == 0) {
		return ShareRequest{}, false
	}
	r.seq++
	r.sent = now
	r.next = now.Add(r.cfg.RenewInterval)
	return ShareRequest{Service: r.service, Seq: r.seq, Wanted: max(r.want, using), InUse: using}, true
}

// NextTick returns when NextRequest is to be called next.
func (r *Requester) NextTick() time.Time {
	return r.next
}

// HandleGrant applies an answer. An answer to an earlier request than the last is dropped, since
// the time of its grant is not known.
func (r *Requester) HandleGrant(g Grant) {
	if g.Seq != r.seq {
		return
	}
	r.slots = g.Slots
	r.until = r.sent.Add(r.cfg.userTTL())
}

// Share returns how many loads may run beyond those that need no share, and until when.
func (r *Requester) Share() (slots int, until time.Time) {
	return r.slots, r.until
}
