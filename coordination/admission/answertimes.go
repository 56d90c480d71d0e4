package admission

import (
	"container/list"
	"time"
)

const (
	// answerTimeBuckets times answerTimeBucket is for how long the time of an answer is remembered.
	answerTimeBuckets = 6
	answerTimeBucket  = 10 * time.Second
	// minAnswerTimes is how many answers have to be remembered, so that the longest one says
	// something about the tail of the others.
	minAnswerTimes = 20
	// answerTimeFactor is how many times the longest remembered answer the next one may take.
	answerTimeFactor = 2
)

// AnswerTimes are the recent times that servers took to answer the requests of one route. It is not
// safe for concurrent use.
type AnswerTimes struct {
	first   time.Time // of the first call; intervals are counted from it
	buckets [answerTimeBuckets]answerTimeCount
	running list.List // when the calls that are not answered yet were made; the oldest one first
}

// answerTimeCount holds the answers of one interval.
type answerTimeCount struct {
	interval int64 // number of the interval
	count    int
	longest  time.Duration
}

// AnswerTimer is a call that is not answered yet.
type AnswerTimer struct {
	times *AnswerTimes
	began *list.Element
}

// Start begins a call to a server. One of Answered and Discard ends it.
func (a *AnswerTimes) Start(now time.Time) *AnswerTimer {
	if a.first.IsZero() {
		a.first = now
	}
	return &AnswerTimer{times: a, began: a.running.PushBack(now)}
}

// Answered ends a call whose answer is complete, or that was given up after this time.
func (t *AnswerTimer) Answered(now time.Time) {
	if began, running := t.end(); running {
		t.times.add(now, now.Sub(began))
	}
}

// Discard ends a call that says nothing about the time of an answer. It does nothing if the call has
// ended.
func (t *AnswerTimer) Discard() { t.end() }

func (t *AnswerTimer) end() (began time.Time, running bool) {
	if t.began == nil {
		return time.Time{}, false
	}
	began = t.times.running.Remove(t.began).(time.Time)
	t.began = nil
	return began, true
}

func (a *AnswerTimes) add(now time.Time, d time.Duration) {
	n := a.intervalOf(now)
	b := &a.buckets[n%answerTimeBuckets]
	if b.interval != n {
		*b = answerTimeCount{interval: n}
	}
	b.count++
	b.longest = max(b.longest, d)
}

func (a *AnswerTimes) intervalOf(now time.Time) int64 {
	return int64(now.Sub(a.first) / answerTimeBucket)
}

// Expected returns the time within which a server is expected to answer a request that is sent now,
// and false if too few answers are known.
func (a *AnswerTimes) Expected(now time.Time) (time.Duration, bool) {
	count, longest := 0, time.Duration(0)
	for _, b := range a.buckets {
		if a.intervalOf(now)-b.interval < answerTimeBuckets {
			count += b.count
			longest = max(longest, b.longest)
		}
	}
	// A call that already takes longer than all others shows a change before its answer does.
	if oldest := a.running.Front(); oldest != nil {
		longest = max(longest, now.Sub(oldest.Value.(time.Time)))
	}
	return answerTimeFactor * longest, count >= minAnswerTimes
}

// Unused reports whether there is nothing to remember.
func (a *AnswerTimes) Unused(now time.Time) bool {
	for _, b := range a.buckets {
		if b.count > 0 && a.intervalOf(now)-b.interval < answerTimeBuckets {
			return false
		}
	}
	return a.running.Len() == 0
}
