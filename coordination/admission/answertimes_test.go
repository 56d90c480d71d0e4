package admission_test

import (
	"container/heap"
	"math"
	"math/rand/v2"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/hibiscuswick/hibiscuswick/coordination/admission"
)

var _ = Describe("The recent times of answers", func() {
	start := time.Unix(1000, 0)
	var times *admission.AnswerTimes
	answer := func(at time.Time, took time.Duration) { times.Start(at.Add(-took)).Answered(at) }

	BeforeEach(func() {
		times = &admission.AnswerTimes{}
		for i := range 20 {
			answer(start.Add(time.Duration(i)*time.Second), time.Duration(1+i%5)*20*time.Millisecond)
		}
	})

	It("tell what the next one takes at most", func() {
		expected, known := times.Expected(start.Add(20 * time.Second))
		Expect(known).To(BeTrue())
		Expect(expected).To(Equal(200 * time.Millisecond))
	})

	It("tell nothing if they are few, or refusals", func() {
		few := &admission.AnswerTimes{}
		for range 19 {
			few.Start(start).Answered(start.Add(time.Millisecond))
			few.Start(start).Discard()
		}
		_, known := few.Expected(start)
		Expect(known).To(BeFalse())
	})

	It("are forgotten", func() {
		now := start.Add(2 * time.Minute)
		Expect(times.Unused(now)).To(BeTrue())
		_, known := times.Expected(now)
		Expect(known).To(BeFalse())
		answer(now, time.Second)
		Expect(times.Unused(now)).To(BeFalse())
	})

	It("include the calls that are not answered yet", func() {
		running := times.Start(start.Add(20 * time.Second))
		expected, _ := times.Expected(start.Add(23 * time.Second))
		Expect(expected).To(Equal(6 * time.Second))
		running.Discard()
		running.Discard()
		expected, _ = times.Expected(start.Add(23 * time.Second))
		Expect(expected).To(Equal(200 * time.Millisecond))
	})
})

// stopLoad is a load of requests on a daemon that is stopped.
type stopLoad struct {
	perSecond        float64
	mean, spread     float64 // of the time of an answer, log-normal, mean in ms
	longest, timeout time.Duration
}

// stopResult counts the requests of the last 5 s of a stop.
type stopResult struct{ requests, refused, lost int }

// ends are answers that are under way, by the time of their ends.
type ends []endingAnswer

type endingAnswer struct {
	at    time.Time
	timer *admission.AnswerTimer
}

func (e ends) Len() int           { return len(e) }
func (e ends) Less(i, j int) bool { return e[i].at.Before(e[j].at) }
func (e ends) Swap(i, j int)      { e[i], e[j] = e[j], e[i] }
func (e *ends) Push(x any)        { *e = append(*e, x.(endingAnswer)) }
func (e *ends) Pop() any {
	last := (*e)[len(*e)-1]
	*e = (*e)[:len(*e)-1]
	return last
}

// play stops a daemon that has served the load for 10 s. Nobody else accepts requests.
func (l stopLoad) play(seed uint64) (out stopResult) {
	const uptime, grace = 10 * time.Second, 8 * time.Second
	stop := admission.Shutdown{Grace: grace, End: 7440 * time.Millisecond}
	rng := rand.New(rand.NewPCG(seed, 0))
	var times admission.AnswerTimes
	var running ends
	start := time.Unix(1000, 0)
	for at := 0.0; at < (uptime + stop.End).Seconds(); at += rng.ExpFloat64() / l.perSecond {
		now := start.Add(time.Duration(at * float64(time.Second)))
		for len(running) > 0 && running[0].at.Before(now) {
			done := heap.Pop(&running).(endingAnswer)
			done.timer.Answered(done.at)
		}
		stop.Elapsed = now.Sub(start) - uptime
		late := stop.Elapsed > stop.End-5*time.Second
		if late {
			out.requests++
		}
		expected, known := times.Expected(now)
		if !known {
			expected = l.timeout
		}
		if accepted, _ := stop.AcceptsCall(min(expected, l.timeout)); !accepted {
			out.refused++
			continue
		}
		median := l.mean * math.Exp(-l.spread*l.spread/2)
		took := min(time.Duration(median*math.Exp(rng.NormFloat64()*l.spread)*float64(time.Millisecond)), l.longest)
		if stop.Elapsed+took > stop.End {
			out.lost++
		}
		heap.Push(&running, endingAnswer{at: now.Add(took), timer: times.Start(now)})
	}
	return out
}

var _ = Describe("A daemon that is stopped while no other one accepts requests", func() {
	// Guards against requests that are refused late in a stop although they would have been answered,
	// and against requests that are cut off at its end.
	DescribeTable("refuses few requests and loses none", Label("failure:refused-in-stops", "failure:lost-in-stops"),
		func(l stopLoad, maxRefused float64) {
			var all stopResult
			for seed := range uint64(200) {
				got := l.play(seed)
				all.requests += got.requests
				all.refused += got.refused
				all.lost += got.lost
			}
			Expect(all.lost).To(BeZero())
			Expect(float64(all.refused) / float64(all.requests)).To(BeNumerically("<", maxRefused))
		},
		Entry("with short answers", stopLoad{perSecond: 27, mean: 60, spread: 0.5, longest: 440 * time.Millisecond, timeout: 3 * time.Second}, 0.2),
		Entry("with few requests", stopLoad{perSecond: 7, mean: 60, spread: 0.5, longest: 440 * time.Millisecond, timeout: 3 * time.Second}, 0.2),
		Entry("with long answers", stopLoad{perSecond: 27, mean: 300, spread: 0.5, longest: 2600 * time.Millisecond, timeout: 3 * time.Second}, 0.7),
		Entry("with answers of very different times", stopLoad{perSecond: 27, mean: 100, spread: 1, longest: 2900 * time.Millisecond, timeout: 3 * time.Second}, 0.7),
		Entry("with answers that take to the deadline", stopLoad{perSecond: 27, mean: 3000, spread: 0.1, longest: 3 * time.Second, timeout: 3 * time.Second}, 0.7),
	)
})
