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

// Reserved returns how many retries the record reserves, over all services.
func (r Record) Reserved() int {
	n := 0
	for _, s := range r.Services {
		n += s.Reserved
	}
	return n
}

// ServiceRecord is the part of a Record for one service. The counts are per slice, the
// newest one first.
type ServiceRecord struct {
	Requests []int `json:"requests,omitempty"`
	Retries  []int `json:"retries,omitempty"`
	// Reserved is how many retries may have arrived in any window after the record.
	Reserved int `json:"reserved,omitempty"`
}

// reservation is what a record reserves: retries that may arrive after it, also those that were
// open when it was made. A process that starts takes them as spent for one window, so that as many
// may arrive in each window after the record, however old it is.
type reservation struct {
	reserved int // by the record
	// least is the smallest reservation of the records of which it is not known whether they
	// were written.
	least   int
	settled window // retries settled since the first of these records
}

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
func (a *account) reserved() int {
	if a.written == nil {
		return 0
	}
	left := math.MaxInt
	a.each(func(r *reservation) { left = min(left, r.least-a.open-r.settled.retriesInWindow()) })
	return max(0, left)
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
		spent = a.open - a.leftBehind + a.written.settled.retriesInWindow()
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
	reserved := a.reserve(b.Left(now, svc, by)) + a.open
	next := &reservation{reserved: reserved, least: reserved, settled: window{slice: a.own.slice}}
	if old := a.pending; old != nil { // it is not known whether the record was written
		next.least, next.settled = min(old.least, reserved), old.settled
	}
	a.pending, a.needed = next, false
	out := ServiceRecord{Reserved: reserved}
	for age := range requestSlices {
		i, j := a.own.index(age), a.inherited.index(age)
		out.Requests = append(out.Requests, a.own.requests[i]+a.inherited.requests[j])
		out.Retries = append(out.Retries, a.own.retries[i]+a.inherited.retries[j])
	}
	out.Requests, out.Retries = trim(out.Requests), trim(out.Retries[:sliceCount+1])
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
// the table's clock or earlier. What the record reserves may have been sent and is open until
// SettleInherited. A later call replaces what an earlier one has set.
func (b *Budget) Inherit(now time.Time, tableNow time.Duration, r Record) {
	for svc, s := range r.Services {
		a := b.account(now, svc)
		a.inherited = window{slice: a.own.slice}
		a.open += s.Reserved - a.leftBehind
		a.leftBehind = s.Reserved
		for k, n := range s.Retries {
			a.inherited.addRetries(b.retryAge(tableNow, r, k), n)
		}
		for k, n := range s.Requests {
			a.inherited.addRequests(b.requestAge(tableNow, r, k), n)
		}
	}
}

// SettleInherited ends the open retries of the processes before this one, which can arrive at a
// server no more: they count for one window from now on.
func (b *Budget) SettleInherited(now time.Time) {
	for _, a := range b.services {
		b.advance(now, a)
		a.open -= a.leftBehind
		a.inherited.retries[a.inherited.index(0)] += a.leftBehind
		// A process that reads one of these records takes them as open still.
		a.each(func(r *reservation) {
			r.reserved -= a.leftBehind
			r.least -= a.leftBehind
		})
		a.leftBehind = 0
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
