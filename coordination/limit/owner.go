package limit

import (
	"maps"
	"time"

	"github.com/hibiscuswick/hibiscuswick/state"
)

// wordPart of the burst, as one in so many, may be out in batches before the
// holders are to tell of each that was spent whole.
const wordPart = 8

// owner is the part of a Limiter that borrows seats and gives out tokens.
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

// ownedShard is what an owner has of one shard.
type ownedShard struct {
	lent    []time.Time // by seat: the owner may count it until then
	steady  time.Time   // the number of seats has not grown since
	buckets map[Key]*bucket
}

// peer is what an owner remembers of a daemon that reports to it.
type peer struct {
	member state.Member
	stamp  int64 // of its newest Report
	heard  time.Time
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
			lent:    make([]time.Time, len(cfg.Seats)),
			steady:  start,
			buckets: make(map[Key]*bucket),
		}
	}
	return o
}

// seats counts the loans that outlast every batch given out now. So whenever a
// loan runs out, all batches that were given on its strength have run out, and
// its seat can back another owner's tokens.
func (s *ownedShard) seats(now time.Time, batchLife time.Duration) int {
	n := 0
	for _, until := range s.lent {
		if !until.Before(now.Add(batchLife)) {
			n++
		}
	}
	return n
}

// report applies r and returns the answer; false when r is not to be answered.
func (o *owner) report(now time.Time, from state.Member, known state.Incarnation, r Report) (Grant, bool) {
	g := Grant{Stamp: stamp(o.start, now), Echo: r.Stamp, To: known, Leaving: o.leaving}
	if known > from.Incarnation {
		// An earlier life that was paused while it was replaced: tell it.
		return g, true
	}
	p := o.peer(from)
	if r.Stamp <= p.stamp {
		// Late or repeated: a newer Report may have asked a loan back.
		return Grant{}, false
	}
	p.stamp = r.Stamp
	p.heard = now
	if i, ok := o.seatIndex[from.ID]; ok {
		o.borrow(now, i, r)
		g.Counted = o.counted(now, i)
	}
	for _, u := range r.Usages {
		if share, ok := o.use(now, from, u); ok {
			g.Allocations = append(g.Allocations, share)
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

// borrow takes over what r says of the loans of seat i.
func (o *owner) borrow(now time.Time, i int, r Report) {
	until := o.start.Add(time.Duration(r.Echo) - 1 + o.cfg.LoanTTL)
	mine := r.To == o.cfg.Self.Incarnation && !o.leaving
	mine = mine && r.Echo > 0 && r.Echo <= stamp(o.start, now)
	for n := range o.shards {
		s := &o.shards[n]
		lent := r.Lent&(1<<n) != 0
		switch {
		case lent && mine && until.After(s.lent[i]):
			o.extend(now, s, i, until)
		case !lent && s.lent[i].After(now):
			o.giveBack(now, s, i)
		}
	}
}

// extend counts seat i until then. Accounts are settled first with the seats
// that they had, so that no time is minted for that the seat was elsewhere.
func (o *owner) extend(now time.Time, s *ownedShard, i int, until time.Time) {
	life := o.cfg.outlast(o.cfg.BatchTTL)
	before := s.seats(now, life)
	old := s.lent[i]
	s.lent[i] = until
	if s.seats(now, life) == before {
		return
	}
	s.lent[i] = old
	for _, b := range s.buckets {
		b.settle(now, before, o.cfg)
	}
	s.lent[i] = until
	s.steady = now
}

// giveBack ends the loan of seat i early if no token depends on it; else it
// runs out by itself.
func (o *owner) giveBack(now time.Time, s *ownedShard, i int) {
	old := s.lent[i]
	s.lent[i] = time.Time{}
	seats := s.seats(now, o.cfg.outlast(o.cfg.BatchTTL))
	for _, b := range s.buckets {
		b.settle(now, seats, o.cfg)
		burst, _ := b.limit.share(seats, o.cfg.Total)
		if b.outstanding > burst {
			s.lent[i] = old
			return
		}
	}
}

// counted has a bit for each shard in which seat i still counts.
func (o *owner) counted(now time.Time, i int) uint64 {
	var bits uint64
	for n := range o.shards {
		if o.shards[n].lent[i].After(now) {
			bits |= 1 << n
		}
	}
	return bits
}

// use applies u; the Share answers it if it asked for tokens.
func (o *owner) use(now time.Time, from state.Member, u Usage) (Allocation, bool) {
	key := Key{Service: u.Service, Customer: u.Customer}
	share := Allocation{Service: u.Service, Customer: u.Customer}
	wants := u.Need > 0 || u.Prefetch > 0
	s := &o.shards[key.shard(o.cfg.Shards)]
	life := o.cfg.outlast(o.cfg.BatchTTL)
	seats := s.seats(now, life)
	b := o.bucket(now, s, key, seats)
	if b == nil {
		share.Unready = true
		return share, wants
	}
	b.settle(now, seats, o.cfg)
	for _, bu := range u.Batches {
		b.used(from, bu)
	}
	if !wants {
		return share, false
	}
	if seats == 0 || o.leaving {
		share.Unready = true
		return share, true
	}
	n := b.give(int(u.Need), int(u.Prefetch), o.cfg)
	if n > 0 {
		o.nextBatch++
		b.batches = append(b.batches, batch{
			id: o.nextBatch, holder: from, size: uint32(n), deadline: now.Add(life),
		})
		share.Batch = o.nextBatch
		share.Tokens = uint32(n)
	}
	burst, _ := b.limit.share(seats, o.cfg.Total)
	share.Exhausted = b.outstanding >= burst
	share.ReportSpent = wordPart*b.outstanding >= burst
	if n < int(u.Need) {
		share.WaitMillis = uint32(b.wait(o.cfg).Milliseconds())
	}
	return share, true
}

// bucket returns the account of key, a new one with what was minted since the
// seats last grew, or nil when the documents give no limit.
func (o *owner) bucket(now time.Time, s *ownedShard, key Key, seats int) *bucket {
	if b := s.buckets[key]; b != nil {
		return b
	}
	l, ok := o.limits[key]
	if !ok {
		return nil
	}
	b := &bucket{limit: l, settled: s.steady, seats: seats}
	b.settle(now, seats, o.cfg)
	s.buckets[key] = b
	return b
}

// setLimit changes the limit of an account from now on.
func (o *owner) setLimit(now time.Time, key Key, l Limit) {
	s := &o.shards[key.shard(o.cfg.Shards)]
	b := s.buckets[key]
	if b == nil {
		return
	}
	b.settle(now, s.seats(now, o.cfg.outlast(o.cfg.BatchTTL)), o.cfg)
	b.limit = l
}

// peerLife is how long a silent peer's newest stamp is kept: far longer than a
// message can be on its way.
const peerLife = 10 * time.Minute

// forget drops accounts that a new one would equal, those of an owner without
// seats and tokens, and daemons that are long gone.
func (o *owner) forget(now time.Time) {
	maps.DeleteFunc(o.peers, func(_ state.DaemonID, p *peer) bool {
		return now.Sub(p.heard) > peerLife
	})
	life := o.cfg.outlast(o.cfg.BatchTTL)
	for n := range o.shards {
		s := &o.shards[n]
		seats := s.seats(now, life)
		for key, b := range s.buckets {
			b.settle(now, seats, o.cfg)
			if b.full(o.cfg) || seats == 0 && len(b.batches) == 0 {
				delete(s.buckets, key)
			}
		}
	}
}

// stamp writes now as nanoseconds since start, from 1.
func stamp(start, now time.Time) int64 {
	return int64(now.Sub(start)) + 1
}
