package permits

import (
	"math"
	"slices"
	"time"

	"github.com/hibiscuswick/hibiscuswick/state"
)

const (
	// spareLeast and spareFor are the permits that nobody has asked for and that are kept: two,
	// and those of so much time.
	spareLeast = 2
	spareFor   = 100 * time.Millisecond
	// queueFor is for how much time permits are promised in advance. Daemons beyond that ask
	// again later: what they need may have changed by then.
	queueFor = time.Second
	// askKeep is how long a question stands that is not asked again.
	askKeep = time.Second
	// askLeast and askMost bound the time after which a daemon asks again.
	askLeast = 50 * time.Millisecond
	askMost  = 5 * time.Second
	// asksIdle and asksEach are how many questions a second an owner takes for one server:
	// enough for each permit to find a taker.
	asksIdle = 20.0
	asksEach = 2.0
)

// issuer gives out one server's permits, one at a time to each daemon that asks, in turn.
type issuer struct {
	level float64   // permits that may be given
	at    time.Time // of level
	queue []asker
	// askers are the daemons that have asked of late, and when.
	askers map[state.DaemonID]time.Time
	// served are those that the last issue gave permits to.
	served []grant
}

// asker is a daemon that waits for permits.
type asker struct {
	from state.DaemonID
	want int
	at   time.Time
}

// grant is what a daemon is given.
type grant struct {
	to      state.DaemonID
	permits int
}

// mint adds the permits that have become due.
func (i *issuer) mint(now time.Time, rate float64) {
	if !now.After(i.at) {
		return
	}
	most := spareLeast + rate*spareFor.Seconds()
	i.level = min(i.level+rate*now.Sub(i.at).Seconds(), most)
	i.at = now
}

// again is after what time a daemon that gets nothing may ask again, by those that have asked of
// late.
func (i *issuer) again(rate float64) time.Duration {
	again := float64(len(i.askers)) / (asksIdle + asksEach*rate)
	return min(max(time.Duration(again*float64(time.Second)), askLeast), askMost)
}

// ask notes what a daemon wants, its part of what is due soon at most. One that waits already
// keeps its place.
func (i *issuer) ask(now time.Time, from state.DaemonID, want int, rate float64) {
	if i.askers == nil {
		i.askers = make(map[state.DaemonID]time.Time)
	}
	i.askers[from] = now
	i.served = nil
	keep := max(askKeep, 2*i.again(rate))
	for d, at := range i.askers {
		if now.Sub(at) > keep {
			delete(i.askers, d)
		}
	}
	want = min(want, int(math.Ceil(max(1, rate*queueFor.Seconds()/float64(len(i.askers))))))
	i.queue = slices.DeleteFunc(i.queue, func(a asker) bool { return a.from != from && now.Sub(a.at) > askKeep })
	if k := slices.IndexFunc(i.queue, func(a asker) bool { return a.from == from }); k >= 0 {
		i.queue[k].want, i.queue[k].at = want, now
		return
	}
	if len(i.queue) > 0 && float64(i.wanted()) >= max(1, rate*queueFor.Seconds()) {
		return
	}
	i.queue = append(i.queue, asker{from: from, want: want, at: now})
}

// waits reports whether a daemon waits for permits.
func (i *issuer) waits(to state.DaemonID) bool {
	return slices.ContainsFunc(i.queue, func(a asker) bool { return a.from == to })
}

// leave takes off a daemon that does not wait.
func (i *issuer) leave(from state.DaemonID) {
	i.queue = slices.DeleteFunc(i.queue, func(a asker) bool { return a.from == from })
}

// wanted is how many permits are waited for.
func (i *issuer) wanted() int {
	n := 0
	for _, a := range i.queue {
		n += a.want
	}
	return n
}

// issue gives out what is due.
func (i *issuer) issue(now time.Time, rate float64) []grant {
	i.mint(now, rate)
	i.served = nil
	for i.level >= 1 && len(i.queue) > 0 {
		a := i.queue[0]
		i.queue = i.queue[1:]
		if now.Sub(a.at) > askKeep || a.want <= 0 {
			continue
		}
		i.level--
		i.serve(a.from)
		if a.want--; a.want > 0 {
			i.queue = append(i.queue, a)
		}
	}
	return i.served
}

func (i *issuer) serve(to state.DaemonID) {
	for k := range i.served {
		if i.served[k].to == to {
			i.served[k].permits++
			return
		}
	}
	i.served = append(i.served, grant{to: to, permits: 1})
}

// answered reports whether the last issue gave a daemon permits.
func (i *issuer) answered(to state.DaemonID) bool {
	return slices.ContainsFunc(i.served, func(g grant) bool { return g.to == to })
}

// nextIssue is when the next permit can be given; false where nobody waits for one.
func (i *issuer) nextIssue(now time.Time, rate float64) (time.Time, bool) {
	if len(i.queue) == 0 || rate <= 0 {
		return time.Time{}, false
	}
	at := i.at.Add(time.Duration((1 - i.level) / rate * float64(time.Second)))
	if at.Before(now) {
		at = now
	}
	return at, true
}

// outlook is when a daemon is likely to get its next permit, and how long each further one
// takes it, by those that have asked of late.
func (i *issuer) outlook(now time.Time, to state.DaemonID, rate float64) (first, each time.Duration) {
	if rate <= 0 {
		return askMost, askMost
	}
	one := float64(time.Second) / rate
	place := len(i.queue)
	if k := slices.IndexFunc(i.queue, func(a asker) bool { return a.from == to }); k >= 0 {
		place = k
	}
	due := i.at.Add(time.Duration((float64(place) + 1 - i.level) * one))
	return max(due.Sub(now), 0), time.Duration(float64(max(len(i.askers), 1)) * one)
}
