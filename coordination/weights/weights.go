package weights

import (
	"cmp"
	"slices"
	"time"

	"github.com/samber/lo"

	"github.com/hibiscuswick/hibiscuswick/coordination/lease"
	"github.com/hibiscuswick/hibiscuswick/state"
)

// Service is the name under which the allocator's lease stands among the leases
// of services.
const LeaseService state.ServiceID = "~weights"

// Config must be the same on all daemons.
type Config struct {
	PoolSize      int           // loads at one time beyond those that need no share
	ShareTTL      time.Duration // how long a share is good for
	MaxClockDrift float64       // bound of a clock's rate error, as a share
	RenewInterval time.Duration // time between an asker's requests
}

// DefaultConfig returns a pool of that size.
func DefaultConfig(pool int) Config {
	return Config{PoolSize: pool, ShareTTL: 9 * time.Second, MaxClockDrift: 0.01, RenewInterval: 3 * time.Second}
}

// userSpan is what a user may rely on, counted from its request.
func (c Config) userSpan() time.Duration {
	return time.Duration(float64(c.ShareTTL) * (1 - c.MaxClockDrift) / (1 + c.MaxClockDrift))
}

// Ask asks for a share for one service.
type ShareRequest struct {
	Service state.ServiceID `msgpack:"service"`
	Seq     uint64          `msgpack:"seq"`   // returned in the Grant
	Wanted  int             `msgpack:"want"`  // loads that run or wait
	InUse   int             `msgpack:"using"` // loads that run on a share now
}

// Grant answers an Ask.
type Grant struct {
	Service state.ServiceID `msgpack:"service"`
	Seq     uint64          `msgpack:"seq"`
	Slots   int             `msgpack:"slots"`
}

// share is what the allocator knows of one service.
type share struct {
	want  int
	slots int
	until time.Time
}

// Allocator grants shares while its daemon holds the lease.
type Allocator struct {
	cfg    Config
	status lease.Status
	opens  time.Time // shares of former allocators may be live before
	shares map[state.ServiceID]*share
}

// NewAllocator returns an allocator without the lease.
func NewAllocator(cfg Config) *Allocator {
	return &Allocator{cfg: cfg, shares: make(map[state.ServiceID]*share)}
}

// Lease takes in the status of the lease named Service.
func (a *Allocator) SetLeaseStatus(now time.Time, s lease.Status) {
	if s.State != lease.None && s.TermID != a.status.TermID {
		a.shares = make(map[state.ServiceID]*share)
		a.opens = now.Add(a.cfg.ShareTTL)
	}
	a.status = s
}

// Ask answers one request; false means that this daemon can't grant now.
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
	if now.Before(a.opens) {
		// Loads that run on a former share are counted, not granted.
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
	fair := max(q.InUse, a.fair(q.Service))
	sh.slots = max(0, min(q.Wanted, fair, a.cfg.PoolSize-others))
	sh.until = now.Add(a.cfg.ShareTTL)
	return Grant{Service: q.Service, Seq: q.Seq, Slots: sh.slots}, true
}

// fair is the service's part of the pool when nobody gets more than it wants and
// what small ones leave is shared by the rest.
func (a *Allocator) fair(service state.ServiceID) int {
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

// Asker holds one service's share for its controller.
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

// NewAsker returns an asker that has no share.
func NewRequester(cfg Config, service state.ServiceID) *Requester {
	return &Requester{cfg: cfg, service: service}
}

// Want takes in what the controller wants now.
func (k *Requester) SetWanted(now time.Time, slots int) {
	if slots > k.want {
		k.next = now
	}
	k.want = slots
}

// Due returns the request to send to the allocator now, if one is due. using is
// how many loads run on the share.
func (k *Requester) NextRequest(now time.Time, using int) (ShareRequest, bool) {
	if now.Before(k.next) || (k.want == 0 && using == 0 && k.slots == 0) {
		return ShareRequest{}, false
	}
	k.seq++
	k.sent = now
	k.next = now.Add(k.cfg.RenewInterval)
	return ShareRequest{Service: k.service, Seq: k.seq, Wanted: max(k.want, using), InUse: using}, true
}

// NextTick says when Due is next worth a call.
func (k *Requester) NextTick() time.Time {
	return k.next
}

// Granted takes in an answer. One to an earlier request than the last is dropped:
// when it was granted is not known.
func (k *Requester) HandleGrant(g Grant) {
	if g.Seq != k.seq {
		return
	}
	k.slots = g.Slots
	k.until = k.sent.Add(k.cfg.userSpan())
}

// Share returns how many loads may run beyond those that need no share, and
// until when.
func (k *Requester) Share() (slots int, until time.Time) {
	return k.slots, k.until
}
