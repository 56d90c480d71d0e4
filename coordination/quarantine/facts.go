package quarantine

import (
	"encoding/binary"
	"slices"
	"time"

	"github.com/hibiscuswick/hibiscuswick/state"
)

// Limits of the deaths kept per content, and of those that it was cleared of. A few
// deaths carry as much information as a hundred.
const (
	maxDeathsPerContent  = 16
	maxClearedPerContent = 32
)

// The kinds of facts in the digest.
const (
	kindDeath uint64 = iota
	kindImplicated
	kindCleared
)

// facts holds what is known site-wide, as sets that only grow until their elements
// expire: the order and number of deliveries make no difference.
type facts struct {
	cfg          *Config
	deaths       map[uint64]death
	deathIDs     []uint64 // by arrival
	suspects     map[Fingerprint]*suspect
	suspectOrder []Fingerprint // suspects, by arrival
	quarantined  map[Fingerprint]time.Time
	digest       uint64 // of deaths, implications and clearings
}

type death struct {
	Death
	at time.Time
}

// suspect is one content. It is suspected because of its deaths that are not cleared.
type suspect struct {
	deaths  []uint64
	cleared []uint64
	added   time.Time
}

func newFacts(cfg *Config) *facts {
	return &facts{
		cfg:         cfg,
		deaths:      make(map[uint64]death),
		suspects:    make(map[Fingerprint]*suspect),
		quarantined: make(map[Fingerprint]time.Time),
	}
}

// merge adds the facts of t and returns those that were new.
func (f *facts) merge(now time.Time, t FactUpdate) FactUpdate {
	var added FactUpdate
	for _, d := range t.Deaths {
		if f.addDeath(now, d) {
			added.Deaths = append(added.Deaths, d)
		}
	}
	for _, i := range t.Implicated {
		if f.addImplication(now, i, false) {
			added.Implicated = append(added.Implicated, i)
		}
	}
	for _, i := range t.Cleared {
		if f.addImplication(now, i, true) {
			added.Cleared = append(added.Cleared, i)
		}
	}
	for _, c := range t.Quarantined {
		if f.addQuarantined(now, c.Fingerprint, time.Unix(c.Until, 0)) {
			added.Quarantined = append(added.Quarantined, c)
		}
	}
	return added
}

// empty reports whether t carries no facts.
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
	f.digest ^= mixBits(d.ID, kindDeath)
	if len(f.deathIDs) > f.cfg.MaxDeaths {
		f.dropDeath()
	}
	return true
}

// dropDeath drops the death that arrived first.
func (f *facts) dropDeath() {
	id := f.deathIDs[0]
	f.deathIDs = f.deathIDs[1:]
	delete(f.deaths, id)
	f.digest ^= mixBits(id, kindDeath)
}

// addImplication adds an implication or a clearing. If its death is not known, it has
// expired, and the fact is dropped.
func (f *facts) addImplication(now time.Time, i Implication, cleared bool) bool {
	if _, known := f.deaths[i.Death]; !known {
		return false
	}
	s := f.suspects[i.Fingerprint]
	if s == nil {
		s = &suspect{added: now}
		f.suspects[i.Fingerprint] = s
		f.suspectOrder = append(f.suspectOrder, i.Fingerprint)
		f.limitSuspects()
	}
	set, kind, limit := &s.deaths, kindImplicated, maxDeathsPerContent
	if cleared {
		set, kind, limit = &s.cleared, kindCleared, maxClearedPerContent
	}
	f.prune(i.Fingerprint, set, kind)
	if slices.Contains(*set, i.Death) || len(*set) >= limit {
		return false
	}
	*set = append(*set, i.Death)
	f.digest ^= digestTerm(i.Fingerprint, i.Death, kind)
	return true
}

// prune drops references to deaths that have expired.
func (f *facts) prune(fp Fingerprint, set *[]uint64, kind uint64) {
	*set = slices.DeleteFunc(*set, func(id uint64) bool {
		_, known := f.deaths[id]
		if !known {
			f.digest ^= digestTerm(fp, id, kind)
		}
		return !known
	})
}

// digestTerm returns the contribution of one implication or clearing to the digest.
func digestTerm(fp Fingerprint, death, kind uint64) uint64 {
	return mixBits(death^binary.BigEndian.Uint64(fp[:8]), kind)
}

func (f *facts) limitSuspects() {
	if len(f.suspectOrder) > f.cfg.MaxSuspects {
		f.dropSuspect(f.suspectOrder[0])
		f.suspectOrder = f.suspectOrder[1:]
	}
}

func (f *facts) dropSuspect(fp Fingerprint) {
	s := f.suspects[fp]
	for _, id := range s.deaths {
		f.digest ^= digestTerm(fp, id, kindImplicated)
	}
	for _, id := range s.cleared {
		f.digest ^= digestTerm(fp, id, kindCleared)
	}
	delete(f.suspects, fp)
}

// addQuarantined records a quarantine entry or extends it. It returns false if that
// changes nothing.
func (f *facts) addQuarantined(now time.Time, fp Fingerprint, until time.Time) bool {
	old, known := f.quarantined[fp]
	if !until.After(now) || known && !until.After(old) {
		return false
	}
	if !known && len(f.quarantined) >= f.cfg.MaxQuarantined {
		return false
	}
	f.quarantined[fp] = until
	return true
}

// expire drops facts that have expired.
func (f *facts) expire(now time.Time) {
	for len(f.deathIDs) > 0 && now.Sub(f.deaths[f.deathIDs[0]].at) >= f.cfg.FactTTL {
		f.dropDeath()
	}
	for len(f.suspectOrder) > 0 && now.Sub(f.suspects[f.suspectOrder[0]].added) >= f.cfg.FactTTL {
		fp := f.suspectOrder[0]
		f.suspectOrder = f.suspectOrder[1:]
		s := f.suspects[fp]
		f.prune(fp, &s.deaths, kindImplicated)
		f.prune(fp, &s.cleared, kindCleared)
		if len(s.deaths)+len(s.cleared) == 0 {
			delete(f.suspects, fp)
			continue
		}
		s.added = now
		f.suspectOrder = append(f.suspectOrder, fp)
	}
	for fp, until := range f.quarantined {
		if !until.After(now) {
			delete(f.quarantined, fp)
		}
	}
}

// openDeaths returns the deaths for which fp is implicated and not cleared.
func (f *facts) openDeaths(fp Fingerprint) []uint64 {
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

// suspected reports whether fp must run exclusively. If a failure domain fails as a
// whole, a content that ran on one of its replicas is presumed innocent; one that ran
// on two of them may have crashed both.
func (f *facts) suspected(fp Fingerprint) bool {
	open := f.openDeaths(fp)
	for i, id := range open {
		if !f.inBurst(fp, f.deaths[id]) {
			return true
		}
		if f.deaths[id].Replica != f.deaths[open[0]].Replica && i > 0 {
			return true
		}
	}
	return false
}

// inBurst reports whether d is one of many deaths in its failure domain at about the
// same time in which fp is not implicated. Deaths that implicate fp do not count: a
// content that crashes many replicas at once must not exonerate itself. Several
// observations of one replica count once.
func (f *facts) inBurst(fp Fingerprint, d death) bool {
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

// snapshot returns all facts, with ages as of now.
func (f *facts) snapshot(now time.Time) FactUpdate {
	var t FactUpdate
	for _, id := range f.deathIDs {
		d := f.deaths[id].Death
		d.AgeMillis = uint32(now.Sub(f.deaths[id].at).Milliseconds())
		t.Deaths = append(t.Deaths, d)
	}
	for _, fp := range f.suspectOrder {
		s := f.suspects[fp]
		for _, id := range s.deaths {
			t.Implicated = append(t.Implicated, Implication{Fingerprint: fp, Death: id})
		}
		for _, id := range s.cleared {
			t.Cleared = append(t.Cleared, Implication{Fingerprint: fp, Death: id})
		}
	}
	for fp, until := range f.quarantined {
		t.Quarantined = append(t.Quarantined, Entry{Fingerprint: fp, Until: until.Unix()})
	}
	slices.SortFunc(t.Quarantined, func(a, b Entry) int {
		return slices.Compare(a.Fingerprint[:], b.Fingerprint[:])
	})
	return t
}

// mixBits spreads v over 64 bits, differently for each kind.
func mixBits(v, kind uint64) uint64 {
	v ^= (kind + 1) * 0x9e3779b97f4a7c15
	v = (v ^ v>>30) * 0xbf58476d1ce4e5b9
	v = (v ^ v>>27) * 0x94d049bb133111eb
	return v ^ v>>31
}
