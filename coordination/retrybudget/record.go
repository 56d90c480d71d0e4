package retrybudget

import (
	"math"
	"time"

	"github.com/hibiscuswick/hibiscuswick/state"
)

// A daemon that restarts loses what it had reserved, and one with small reservations writes
// more records.
const (
	// reserveShare is the part of what is left that a record reserves, minReserve the same in
	// retries.
	reserveShare = 0.25
	minReserve   = 5
	// reserveOfSpent is what a record reserves, as a multiple of the retries since the last one.
	reserveOfSpent = 3
	// renewShare is the part of a reservation below which a new record is needed.
	renewShare = 0.25
)

// Record is what a daemon has used of its allowance. Times are readings of the clock of
// the table that keeps the record.
type Record struct {
	// NewestEnd is when the newest slices end.
	NewestEnd time.Duration                     `json:"end"`
	Slice     time.Duration                     `json:"slice"` // length of a slice
	Services  map[state.ServiceID]ServiceRecord `json:"services"`
}

// ServiceRecord is the part of a Record for one service. The counts are per slice, the
// newest one first.
type ServiceRecord struct {
	Requests []int `json:"requests,omitempty"`
	Retries  []int `json:"retries,omitempty"`
	// Reserved is how many retries may have been made in any window after the record.
	Reserved int `json:"reserved,omitempty"`
}

// reservation counts the retries that were granted under a record. A process that starts takes
// the reserved ones as spent for one window, so that as many may be spent in each window after the
// record, however old it is.
type reservation struct {
	number   int // of the first of these records
	reserved int // by the record
	// least is the smallest reservation of the records of which it is not known whether they
	// were written.
	least int
	// open and settled are the retries granted since the first of these records.
	open    int
	settled window
}

// left returns how many retries may be granted under the record now.
func (r *reservation) left() int {
	return max(0, r.least-r.spent())
}

// spent returns how many of the retries that were granted under the record count now.
func (r *reservation) spent() int {
	return r.open + r.settled.retriesInWindow()
}

// covers reports whether a retry was granted under the record.
func (r *reservation) covers(g Grant) bool { return g.records >= r.number }

// reservations are those of the written record and of the one that is being written, or whose
// write failed and may still take effect. Either may be read by the next process.
type reservations struct {
	written, pending *reservation
	// needed is set if a retry was denied for lack of a reservation.
	needed bool
}

func (r *reservations) each(f func(*reservation)) {
	for _, one := range []*reservation{r.written, r.pending} {
		if one != nil {
			f(one)
		}
	}
}

// reserved returns how many retries may be granted now; none before a record was written.
func (r *reservations) reserved() int {
	if r.written == nil {
		return 0
	}
	left := r.written.left()
	if r.pending != nil {
		left = min(left, r.pending.left())
	}
	return left
}

// grant takes one retry, and reports whether one was reserved.
func (r *reservations) grant() bool {
	if r.reserved() < 1 {
		r.needed = true
		return false
	}
	r.each(func(one *reservation) { one.open++ })
	return true
}

// settle ends an open retry.
func (r *reservations) settle(g Grant) {
	r.each(func(one *reservation) {
		if one.covers(g) {
			one.open--
			one.settled.retries[one.settled.index(0)]++
		}
	})
}

// giveBack returns an open retry. A record made since it was granted counts it as spent, so that
// another one may be granted under that record.
func (r *reservations) giveBack(g Grant) {
	r.each(func(one *reservation) {
		if one.covers(g) {
			one.open--
			return
		}
		one.reserved++
		one.least++
	})
}

// Pending reports whether a retry of a service is left that waits for a record to be
// written.
func (b *Budget) Pending(now time.Time, svc state.ServiceID, by SlackShare) bool {
	return b.account(now, svc).reserved() < 1 && b.Left(now, svc, by) >= 1
}

// NeedsRecord reports whether a service's reservation is running out.
func (b *Budget) NeedsRecord(now time.Time, svc state.ServiceID, by SlackShare) bool {
	a := b.account(now, svc)
	left, reserved := b.Left(now, svc, by), a.reserved()
	return left > reserved && (a.needed || float64(reserved) <= renewShare*float64(a.reserve(left)))
}

// reserve returns how many retries a new record reserves of those that are left.
func (a *account) reserve(left int) int {
	spent := 0
	if a.written != nil {
		spent = a.written.spent()
	}
	return min(left, max(int(math.Ceil(reserveShare*float64(left))), minReserve, reserveOfSpent*spent))
}

// NewRecord returns the record to be written for the given services. tableNow is the time
// of the table's clock, or later.
func (b *Budget) NewRecord(now time.Time, tableNow time.Duration, services []state.ServiceID, by SlackShare) Record {
	length := b.cfg.slice()
	r := Record{Slice: length, Services: make(map[state.ServiceID]ServiceRecord, len(services))}
	r.NewestEnd = tableNow + b.start.Add(time.Duration(b.sliceAt(now)+1)*length).Sub(now)
	for _, svc := range services {
		r.Services[svc] = b.recordService(now, svc, by)
	}
	return r
}

// recordService returns a service's part of a new record and begins its reservation.
func (b *Budget) recordService(now time.Time, svc state.ServiceID, by SlackShare) ServiceRecord {
	a := b.account(now, svc)
	reserved := a.reserve(b.Left(now, svc, by))
	a.records++
	next := &reservation{number: a.records, reserved: reserved, least: reserved, settled: window{slice: a.own.slice}}
	if old := a.pending; old != nil { // it is not known whether the record was written
		next.number, next.least, next.open, next.settled = old.number, min(old.least, reserved), old.open, old.settled
	}
	a.pending, a.needed = next, false
	out := ServiceRecord{Reserved: reserved}
	for age := range requestSlices {
		i, j := a.own.index(age), a.inherited.index(age)
		out.Requests = append(out.Requests, a.own.requests[i]+a.inherited.requests[j])
		out.Retries = append(out.Retries, a.own.retries[i]+a.inherited.retries[j])
	}
	out.Retries = out.Retries[:sliceCount+1]
	out.Retries[0] += a.open
	out.Requests, out.Retries = trim(out.Requests), trim(out.Retries)
	return out
}

// trim removes the zeros at the end of counts.
func trim(counts []int) []int {
	for len(counts) > 0 && counts[len(counts)-1] == 0 {
		counts = counts[:len(counts)-1]
	}
	return counts
}

// Written reports that the last record of a service has been written.
func (b *Budget) Written(svc state.ServiceID) {
	a, ok := b.services[svc]
	if !ok || a.pending == nil {
		return
	}
	a.written, a.pending = a.pending, nil
	a.written.least = a.written.reserved
}

// Inherit continues from the record of the process before this one, at the time tableNow of
// the table's clock or earlier. A later call replaces what an earlier one has set.
func (b *Budget) Inherit(now time.Time, tableNow time.Duration, r Record) {
	for svc, s := range r.Services {
		a := b.account(now, svc)
		a.inherited = window{slice: a.own.slice}
		a.inherited.retries[a.inherited.index(0)] = s.Reserved
		for k, n := range s.Retries {
			a.inherited.addRetries(b.retryAge(tableNow, r, k), n)
		}
		for k, n := range s.Requests {
			a.inherited.addRequests(b.requestAge(tableNow, r, k), n)
		}
	}
}

// retryAge returns how many slices old the retries of a record's k-th slice are at least.
func (b *Budget) retryAge(tableNow time.Duration, r Record, k int) int {
	age := tableNow - (r.NewestEnd - time.Duration(k)*r.Slice)
	return int(max(0, age/b.cfg.slice()))
}

// requestAge returns how many slices old the requests of a record's k-th slice are at most.
func (b *Budget) requestAge(tableNow time.Duration, r Record, k int) int {
	age := tableNow - (r.NewestEnd - time.Duration(k+1)*r.Slice)
	return int(max(0, age/b.cfg.slice()+1))
}

func (w *window) addRetries(age, n int) {
	if age < requestSlices {
		w.retries[w.index(age)] += n
	}
}

func (w *window) addRequests(age, n int) {
	if age < requestSlices {
		w.requests[w.index(age)] += n
	}
}
