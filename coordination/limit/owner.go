package limit

import (
	"maps"
	"time"

	"github.com/hibiscuswick/hibiscuswick/state"
)

// spentReportDivisor: once 1/spentReportDivisor of the burst is outstanding in
// batches, holders must report each batch that is spent completely.
const spentReportDivisor = 8

// owner is the part of a Limiter that borrows seats and distributes tokens.
type owner struct {
	cfg       *Config
	start     time.Time
	limits    map[Key]Limit
	seatIndex map[state.DaemonID]int
	shards    []ownedShard
	peers     map[state.DaemonID]*peer
	nextBatch uint64
	leaving   bool
}

// ownedShard is an owner's state for one shard.
type ownedShard struct {
	loanExpiry  []time.Time // by seat: until when the owner may count it
	seatsGrewAt time.Time   // when the number of seats last grew
	buckets     map[Key]*bucket
}

// peer is an owner's state for a daemon that reports to it.
type peer struct {
	member     state.Member
	stamp      int64 // Stamp of its newest Report
	lastReport time.Time
}

func newOwner(cfg *Config, start time.Time, limits map[Key]Limit) *owner {
	o := &owner{
		cfg:       cfg,
		start:     start,
		limits:    limits,
		seatIndex: make(map[state.DaemonID]int),
		shards:    make([]ownedShard, cfg.Shards),
		peers:     make(map[state.DaemonID]*peer),
	}
	for i, id := range cfg.Seats {
		o.seatIndex[id] = i
	}
	for i := range o.shards {
		o.shards[i] = ownedShard{
			loanExpiry:  make([]time.Time, len(cfg.Seats)),
			seatsGrewAt: start,
			buckets:     make(map[Key]*bucket),
		}
	}
	return o
}

// seats returns the number of loans that expire after every batch given out now.
// So whenever a loan expires, all batches that it backed have expired, and its
// seat can back another owner's tokens.
func (s *ownedShard) seats(now time.Time, batchTTL time.Duration) int {
	n := 0
	for _, until := range s.loanExpiry {
		if !until.Before(now.Add(batchTTL)) {
			n++
		}
	}
	return n
}

// handleReport applies r and returns the answer, or false if r gets no answer.
func (o *owner) handleReport(now time.Time, from state.Member, knownIncarnation state.Incarnation, r Report) (Grant, bool) {
	g := Grant{Stamp: stamp(o.start, now), Echo: r.Stamp, To: knownIncarnation, Leaving: o.leaving}
	if knownIncarnation > from.Incarnation {
		// The sender is an earlier incarnation, which was paused while it was
		// replaced. The answer says so.
		return g, true
	}
	p := o.peer(from)
	if r.Stamp <= p.stamp {
		// Late or duplicated: a newer Report may have reclaimed a loan.
		return Grant{}, false
	}
	p.stamp = r.Stamp
	p.lastReport = now
	if i, ok := o.seatIndex[from.ID]; ok {
		o.borrow(now, i, r)
		g.Counted = o.countedShards(now, i)
	}
	for _, u := range r.Usages {
		if alloc, ok := o.handleUsage(now, from, u); ok {
			g.Allocations = append(g.Allocations, alloc)
		}
	}
	return g, true
}

func (o *owner) peer(from state.Member) *peer {
	p := o.peers[from.ID]
	if p == nil || p.member.Incarnation < from.Incarnation {
		p = &peer{member: from}
		o.peers[from.ID] = p
	}
	return p
}

// borrow applies the loans of seat i in r.
func (o *owner) borrow(now time.Time, i int, r Report) {
	until := o.start.Add(time.Duration(r.Echo) - 1 + o.cfg.LoanTTL)
	valid := r.To == o.cfg.Self.Incarnation && !o.leaving
	valid = valid && r.Echo > 0 && r.Echo <= stamp(o.start, now)
	for n := range o.shards {
		s := &o.shards[n]
		lent := r.Lent&(1<<n) != 0
		switch {
		case lent && valid && until.After(s.loanExpiry[i]):
			o.extend(now, s, i, until)
		case !lent && s.loanExpiry[i].After(now):
			o.giveBack(now, s, i)
		}
	}
}

// extend extends the loan of seat i. The buckets are first advanced with the
// previous number of seats, so that no tokens are added for the time when the seat
// was lent to another owner.
func (o *owner) extend(now time.Time, s *ownedShard, i int, until time.Time) {
	ttl := o.cfg.addClockDrift(o.cfg.BatchTTL)
	before := s.seats(now, ttl)
	old := s.loanExpiry[i]
	s.loanExpiry[i] = until
	if s.seats(now, ttl) == before {
		return
	}
	s.loanExpiry[i] = old
	for _, b := range s.buckets {
		b.advanceTo(now, before, o.cfg)
	}
	s.loanExpiry[i] = until
	s.seatsGrewAt = now
}

// giveBack ends the loan of seat i early if no token depends on it. Otherwise the
// loan expires by itself.
func (o *owner) giveBack(now time.Time, s *ownedShard, i int) {
	old := s.loanExpiry[i]
	s.loanExpiry[i] = time.Time{}
	seats := s.seats(now, o.cfg.addClockDrift(o.cfg.BatchTTL))
	for _, b := range s.buckets {
		b.advanceTo(now, seats, o.cfg)
		burst, _ := b.limit.share(seats, o.cfg.Total)
		if b.outstanding > burst {
			s.loanExpiry[i] = old
			return
		}
	}
}

// countedShards returns a bit for each shard in which seat i still counts.
func (o *owner) countedShards(now time.Time, i int) uint64 {
	var bits uint64
	for n := range o.shards {
		if o.shards[n].loanExpiry[i].After(now) {
			bits |= 1 << n
		}
	}
	return bits
}

// handleUsage applies u. It returns an Allocation and true if u requested tokens.
func (o *owner) handleUsage(now time.Time, from state.Member, u Usage) (Allocation, bool) {
	key := Key{Service: u.Service, Customer: u.Customer}
	alloc := Allocation{Service: u.Service, Customer: u.Customer}
	wantsTokens := u.Need > 0 || u.Prefetch > 0
	s := &o.shards[key.shard(o.cfg.Shards)]
	ttl := o.cfg.addClockDrift(o.cfg.BatchTTL)
	seats := s.seats(now, ttl)
	b := o.bucket(now, s, key, seats)
	if b == nil {
		alloc.Unready = true
		return alloc, wantsTokens
	}
	b.advanceTo(now, seats, o.cfg)
	for _, bu := range u.Batches {
		b.applyUsage(from, bu)
	}
	if !wantsTokens {
		return alloc, false
	}
	if seats == 0 || o.leaving {
		alloc.Unready = true
		return alloc, true
	}
	n := b.take(int(u.Need), int(u.Prefetch), o.cfg)
	if n > 0 {
		o.nextBatch++
		b.batches = append(b.batches, batch{
			id: o.nextBatch, holder: from, size: uint32(n), deadline: now.Add(ttl),
		})
		alloc.Batch = o.nextBatch
		alloc.Tokens = uint32(n)
	}
	burst, _ := b.limit.share(seats, o.cfg.Total)
	alloc.Exhausted = b.outstanding >= burst
	alloc.ReportSpent = spentReportDivisor*b.outstanding >= burst
	if n < int(u.Need) {
		alloc.WaitMillis = uint32(b.nextTokenIn(o.cfg).Milliseconds())
	}
	return alloc, true
}

// bucket returns the bucket of key, or nil if the documents have no limit for it.
// A new bucket contains the tokens for the time since the number of seats last
// grew.
func (o *owner) bucket(now time.Time, s *ownedShard, key Key, seats int) *bucket {
	if b := s.buckets[key]; b != nil {
		return b
	}
	l, ok := o.limits[key]
	if !ok {
		return nil
	}
	b := &bucket{limit: l, settledAt: s.seatsGrewAt, seats: seats}
	b.advanceTo(now, seats, o.cfg)
	s.buckets[key] = b
	return b
}

// setLimit changes the limit of an existing bucket from now on.
func (o *owner) setLimit(now time.Time, key Key, l Limit) {
	s := &o.shards[key.shard(o.cfg.Shards)]
	b := s.buckets[key]
	if b == nil {
		return
	}
	b.advanceTo(now, s.seats(now, o.cfg.addClockDrift(o.cfg.BatchTTL)), o.cfg)
	b.limit = l
}

// peerTTL is how long the newest stamp of a peer that sends no reports is kept. It
// is far longer than a message can be in flight.
const peerTTL = 10 * time.Minute

// evict drops buckets that equal a new one, buckets without seats and batches, and
// peers that have sent no report for peerTTL.
func (o *owner) evict(now time.Time) {
	maps.DeleteFunc(o.peers, func(_ state.DaemonID, p *peer) bool {
		return now.Sub(p.lastReport) > peerTTL
	})
	ttl := o.cfg.addClockDrift(o.cfg.BatchTTL)
	for n := range o.shards {
		s := &o.shards[n]
		seats := s.seats(now, ttl)
		for key, b := range s.buckets {
			b.advanceTo(now, seats, o.cfg)
			if b.full(o.cfg) || seats == 0 && len(b.batches) == 0 {
				delete(s.buckets, key)
			}
		}
	}
}

// stamp returns now as nanoseconds since start, from 1.
func stamp(start, now time.Time) int64 {
	return int64(now.Sub(start)) + 1
}
