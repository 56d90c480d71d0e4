package quarantine

import (
	"encoding/binary"
	"slices"
	"time"

	"github.com/hibiscuswick/hibiscuswick/state"
)

// The deaths remembered of one content, and those cleared of: a few tell no
// less than a hundred.
const (
	maxDeathsOf  = 16
	maxClearedOf = 32
)

// The kinds of facts in the digest.
const (
	kindDeath uint64 = iota
	kindImplied
	kindCleared
)

// facts is what is known site-wide, as sets that only grow until they expire:
// the order and the number of times in which facts come make no difference.
type facts struct {
	cfg       *Config
	deaths    map[uint64]death
	deathIDs  []uint64 // by arrival
	suspects  map[Fingerprint]*suspect
	order     []Fingerprint // suspects, by arrival
	convicted map[Fingerprint]time.Time
	digest    uint64 // of deaths, implications and clearings
}

type death struct {
	Death
	at time.Time
}

// suspect is one content: it is suspected for deaths that are not cleared.
type suspect struct {
	deaths  []uint64
	cleared []uint64
	added   time.Time
}

func newFacts(cfg *Config) *facts {
	return &facts{
		cfg:       cfg,
		deaths:    make(map[uint64]death),
		suspects:  make(map[Fingerprint]*suspect),
		convicted: make(map[Fingerprint]time.Time),
	}
}

// merge adds what is new in t and returns just that.
func (f *facts) merge(now time.Time, t FactUpdate) FactUpdate {
	var news FactUpdate
	for _, d := range t.Deaths {
		if f.addDeath(now, d) {
			news.Deaths = append(news.Deaths, d)
		}
	}
	for _, i := range t.Implicated {
		if f.add(now, i, false) {
			news.Implicated = append(news.Implicated, i)
		}
	}
	for _, i := range t.Cleared {
		if f.add(now, i, true) {
			news.Cleared = append(news.Cleared, i)
		}
	}
	for _, c := range t.Quarantined {
		if f.convict(now, c.Fingerprint, time.Unix(c.Until, 0)) {
			news.Quarantined = append(news.Quarantined, c)
		}
	}
	return news
}

// empty reports whether t says nothing.
func (t FactUpdate) empty() bool {
	return len(t.Deaths)+len(t.Implicated)+len(t.Cleared)+len(t.Quarantined) == 0
}

func (f *facts) addDeath(now time.Time, d Death) bool {
	age := time.Duration(d.AgeMillis) * time.Millisecond
	if _, known := f.deaths[d.ID]; known || age >= f.cfg.FactTTL {
		return false
	}
	f.deaths[d.ID] = death{Death: d, at: now.Add(-age)}
	f.deathIDs = append(f.deathIDs, d.ID)
	f.digest ^= mix(d.ID, kindDeath)
	if len(f.deathIDs) > f.cfg.MaxDeaths {
		f.dropDeath()
	}
	return true
}

// dropDeath forgets the death that came first.
func (f *facts) dropDeath() {
	id := f.deathIDs[0]
	f.deathIDs = f.deathIDs[1:]
	delete(f.deaths, id)
	f.digest ^= mix(id, kindDeath)
}

// add takes in an implication or a clearing. One whose death is not known has
// expired, and is dropped.
func (f *facts) add(now time.Time, i Implication, cleared bool) bool {
	if _, known := f.deaths[i.Death]; !known {
		return false
	}
	s := f.suspects[i.Fingerprint]
	if s == nil {
		s = &suspect{added: now}
		f.suspects[i.Fingerprint] = s
		f.order = append(f.order, i.Fingerprint)
		f.bound()
	}
	set, kind, limit := &s.deaths, kindImplied, maxDeathsOf
	if cleared {
		set, kind, limit = &s.cleared, kindCleared, maxClearedOf
	}
	f.prune(i.Fingerprint, set, kind)
	if slices.Contains(*set, i.Death) || len(*set) >= limit {
		return false
	}
	*set = append(*set, i.Death)
	f.digest ^= digestOf(i.Fingerprint, i.Death, kind)
	return true
}

// prune drops what refers to deaths that have expired.
func (f *facts) prune(fp Fingerprint, set *[]uint64, kind uint64) {
	*set = slices.DeleteFunc(*set, func(id uint64) bool {
		_, known := f.deaths[id]
		if !known {
			f.digest ^= digestOf(fp, id, kind)
		}
		return !known
	})
}

// digestOf is the part of the digest that one implication or clearing makes.
func digestOf(fp Fingerprint, death, kind uint64) uint64 {
	return mix(death^binary.BigEndian.Uint64(fp[:8]), kind)
}

func (f *facts) bound() {
	if len(f.order) > f.cfg.MaxSuspects {
		f.forget(f.order[0])
		f.order = f.order[1:]
	}
}

func (f *facts) forget(fp Fingerprint) {
	s := f.suspects[fp]
	for _, id := range s.deaths {
		f.digest ^= digestOf(fp, id, kindImplied)
	}
	for _, id := range s.cleared {
		f.digest ^= digestOf(fp, id, kindCleared)
	}
	delete(f.suspects, fp)
}

// convict remembers a conviction, or a longer one; false if it is not new.
func (f *facts) convict(now time.Time, fp Fingerprint, until time.Time) bool {
	old, known := f.convicted[fp]
	if !until.After(now) || known && !until.After(old) {
		return false
	}
	if !known && len(f.convicted) >= f.cfg.MaxQuarantined {
		return false
	}
	f.convicted[fp] = until
	return true
}

// expire forgets what is older than its life.
func (f *facts) expire(now time.Time) {
	for len(f.deathIDs) > 0 && now.Sub(f.deaths[f.deathIDs[0]].at) >= f.cfg.FactTTL {
		f.dropDeath()
	}
	for len(f.order) > 0 && now.Sub(f.suspects[f.order[0]].added) >= f.cfg.FactTTL {
		fp := f.order[0]
		f.order = f.order[1:]
		s := f.suspects[fp]
		f.prune(fp, &s.deaths, kindImplied)
		f.prune(fp, &s.cleared, kindCleared)
		if len(s.deaths)+len(s.cleared) == 0 {
			delete(f.suspects, fp)
			continue
		}
		s.added = now
		f.order = append(f.order, fp)
	}
	for fp, until := range f.convicted {
		if !until.After(now) {
			delete(f.convicted, fp)
		}
	}
}

// open lists the deaths for which fp is implicated and not cleared.
func (f *facts) open(fp Fingerprint) []uint64 {
	s := f.suspects[fp]
	if s == nil {
		return nil
	}
	var open []uint64
	for _, id := range s.deaths {
		if _, known := f.deaths[id]; known && !slices.Contains(s.cleared, id) {
			open = append(open, id)
		}
	}
	return open
}

// suspected reports whether fp is to run alone. When a failure domain fails as
// a whole, what ran in one of its replicas is innocent as far as can be told;
// what ran in two of them may have killed both.
func (f *facts) suspected(fp Fingerprint) bool {
	open := f.open(fp)
	for i, id := range open {
		if !f.burst(fp, f.deaths[id]) {
			return true
		}
		if f.deaths[id].Replica != f.deaths[open[0]].Replica && i > 0 {
			return true
		}
	}
	return false
}

// burst reports whether d is one of many deaths in its failure domain at about
// the same time that fp has no part in. Those it has a part in do not count:
// a content that crashes many replicas at once must not excuse itself. Several
// observations of one replica count once.
func (f *facts) burst(fp Fingerprint, d death) bool {
	var own []uint64
	if s := f.suspects[fp]; s != nil {
		own = s.deaths
	}
	var replicas []state.ReplicaID
	for _, id := range f.deathIDs {
		other := f.deaths[id]
		near := other.at.Sub(d.at).Abs() <= f.cfg.BurstWindow
		if other.Domain != d.Domain || !near || slices.Contains(own, id) || slices.Contains(replicas, other.Replica) {
			continue
		}
		replicas = append(replicas, other.Replica)
		if len(replicas) >= f.cfg.BurstReplicas {
			return true
		}
	}
	return false
}

// all is every fact, with ages as of now.
func (f *facts) all(now time.Time) FactUpdate {
	var t FactUpdate
	for _, id := range f.deathIDs {
		d := f.deaths[id].Death
		d.AgeMillis = uint32(now.Sub(f.deaths[id].at).Milliseconds())
		t.Deaths = append(t.Deaths, d)
	}
	for _, fp := range f.order {
		s := f.suspects[fp]
		for _, id := range s.deaths {
			t.Implicated = append(t.Implicated, Implication{Fingerprint: fp, Death: id})
		}
		for _, id := range s.cleared {
			t.Cleared = append(t.Cleared, Implication{Fingerprint: fp, Death: id})
		}
	}
	for fp, until := range f.convicted {
		t.Quarantined = append(t.Quarantined, QuarantineEntry{Fingerprint: fp, Until: until.Unix()})
	}
	slices.SortFunc(t.Quarantined, func(a, b QuarantineEntry) int {
		return slices.Compare(a.Fingerprint[:], b.Fingerprint[:])
	})
	return t
}

// mix spreads v over 64 bits, other for each kind.
func mix(v, kind uint64) uint64 {
	v ^= (kind + 1) * 0x9e3779b97f4a7c15
	v = (v ^ v>>30) * 0xbf58476d1ce4e5b9
	v = (v ^ v>>27) * 0x94d049bb133111eb
	return v ^ v>>31
}
