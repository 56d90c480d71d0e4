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
	// Reserved is how many retries may have been made after the record.
	Reserved int `json:"reserved,omitempty"`
}

// reservation counts the retries that may be made under the records written so far.
type reservation struct {
	granted int // left of the written record
	spent   int // retries since the last record was made
	// pending is what the record that is being written reserves.
	pending int
	// needed is set if the written record is running out.
	needed bool
}

// take takes one retry from the reservation, also without one left if unrecorded is set, and
// reports whether it did.
func (r *reservation) take(unrecorded bool) bool {
	if r.granted < 1 && !unrecorded {
		r.needed = true
		return false
	}
	r.granted = max(r.granted-1, 0)
	r.spent++
	return true
}

// giveBack returns one retry that take has taken. A record made meanwhile counts it as spent, so
// that another one may be made under it.
func (r *reservation) giveBack() {
	r.granted++
	r.spent = max(r.spent-1, 0)
}

// SetUnrecorded sets whether retries are granted without a reservation, because the table
// does not answer.
func (b *Budget) SetUnrecorded(unrecorded bool) { b.unrecorded = unrecorded }

// Reserved returns how many retries of a service the written record still reserves.
func (b *Budget) Reserved(now time.Time, svc state.ServiceID) int { return b.account(now, svc).granted }

// Pending reports whether a retry of a service is left that waits for a record to be
// written.
func (b *Budget) Pending(now time.Time, svc state.ServiceID, by SlackShare) bool {
	return !b.unrecorded && b.account(now, svc).granted < 1 && b.Left(now, svc, by) >= 1
}

// NeedsRecord reports whether a service's reservation is running out.
func (b *Budget) NeedsRecord(now time.Time, svc state.ServiceID, by SlackShare) bool {
	a := b.account(now, svc)
	left := b.Left(now, svc, by)
	return left > a.granted && (a.needed || float64(a.granted) <= renewShare*float64(b.reserve(a, left)))
}

// reserve returns how many retries a new record reserves of those that are left.
func (b *Budget) reserve(a *account, left int) int {
	return min(left, max(int(math.Ceil(reserveShare*float64(left))), minReserve, reserveOfSpent*a.spent))
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
	a.pending = max(b.reserve(a, b.Left(now, svc, by)), 0)
	a.granted = min(a.granted, a.pending)
	a.spent, a.needed = 0, false
	out := ServiceRecord{Reserved: a.pending}
	for age := range int64(sliceCount + 1) {
		i, j := a.own.index(age), a.inherited.index(age)
		out.Requests = append(out.Requests, a.own.requests[i]+a.inherited.requests[j])
		out.Retries = append(out.Retries, a.own.retries[i]+a.inherited.retries[j])
	}
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
	if a, ok := b.services[svc]; ok {
		a.granted = max(a.pending-a.spent, 0)
	}
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
func (b *Budget) retryAge(tableNow time.Duration, r Record, k int) int64 {
	age := tableNow - (r.NewestEnd - time.Duration(k)*r.Slice)
	return max(0, int64(age/b.cfg.slice()))
}

// requestAge returns how many slices old the requests of a record's k-th slice are at most.
func (b *Budget) requestAge(tableNow time.Duration, r Record, k int) int64 {
	age := tableNow - (r.NewestEnd - time.Duration(k+1)*r.Slice)
	return max(0, int64(age/b.cfg.slice())+1)
}

func (w *window) addRetries(age int64, n int) {
	if age <= sliceCount {
		w.retries[w.index(age)] += n
	}
}

func (w *window) addRequests(age int64, n int) {
	if age <= sliceCount {
		w.requests[w.index(age)] += n
	}
}
