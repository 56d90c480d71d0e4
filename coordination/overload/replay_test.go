package overload_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/hibiscuswick/hibiscuswick/coordination/overload"
	"github.com/hibiscuswick/hibiscuswick/coordination/pathing"
	"github.com/hibiscuswick/hibiscuswick/coordination/urgency"
)

// chain fakes engines whose pauses grow with the streams that they run.
type chain struct {
	now     time.Time
	slow    float64 // factor by which the engines are slower than their sheet says
	running []*running
	model   *overload.Model
	demand  *overload.Demand
	admit   bool // admission is on
	results map[urgency.Class]*result
}

// running is a stream in flight.
type running struct {
	result    *result
	began     time.Time
	predicted pathing.Prediction // when it was admitted
	events    float64            // left
	late      bool
}

// result counts the streams of a class.
type result struct{ asked, admitted, onTime int }

const (
	step         = 20 * time.Millisecond
	streamEvents = 50
	streamTokens = 900
	kvCapacity   = 100 * streamTokens
	drain        = 20 * time.Second // in which all streams end
	usualPauseMS = 30.0             // of an idle chain
	loadPauseMS  = 1.2              // added by each stream in flight
)

func newChain(admit bool) *chain {
	return &chain{
		now: time.Unix(1000, 0), slow: 1, model: overload.NewModel(), demand: overload.NewDemand(), admit: admit,
		results: make(map[urgency.Class]*result),
	}
}

// predict returns what the sheet says of a stream that joins.
func (c *chain) predict() pathing.Prediction {
	pause := usualPauseMS + loadPauseMS*float64(len(c.running))
	return pathing.Prediction{
		Hops: []pathing.HopPrediction{{Kind: "card", PauseMS: pause}}, FirstMS: pause,
		KVShare: float64((len(c.running)+1)*streamTokens) / kvCapacity,
	}
}

// pause returns the time between two events now. Beyond the capacity, streams wait for the memory of
// others.
func (c *chain) pause() time.Duration {
	p := c.predict()
	ms := p.PauseMS() * c.slow
	if p.KVShare > 1 {
		ms *= 1 + 10*(p.KVShare-1)
	}
	return time.Duration(ms * float64(time.Millisecond))
}

// arrive starts a stream or turns it away.
func (c *chain) arrive(class urgency.Class) {
	r := c.results[class]
	if r == nil {
		r = &result{}
		c.results[class] = r
	}
	r.asked++
	c.demand.Add(c.now, class, streamTokens)
	s := overload.Stream{MoreUrgent: c.demand.MoreUrgent(c.now, class), FirstTarget: firstTarget, PauseTarget: pauseTarget}
	if c.admit && s.Decide(c.model.Outlook(c.now, c.predict())) != overload.Admitted {
		return
	}
	r.admitted++
	c.running = append(c.running, &running{result: r, began: c.now, predicted: c.predict(), events: streamEvents})
}

// advance runs the chain for a step.
func (c *chain) advance() {
	pause := c.pause()
	left := c.running[:0]
	for _, s := range c.running {
		if c.now.Sub(s.began) < time.Second {
			c.model.Observe(c.now, s.predicted, pause)
		}
		s.late = s.late || 2*pause > pauseTarget // the longest pause of a stream is about twice its usual one
		if s.events -= float64(step) / float64(pause); s.events > 0 {
			left = append(left, s)
			continue
		}
		c.model.StreamEnded(c.now.Sub(s.began))
		if !s.late {
			s.result.onTime++
		}
	}
	c.running = left
	c.now = c.now.Add(step)
}

// run plays a load for a time. perSecond are the arrivals of each class.
func (c *chain) run(d time.Duration, perSecond map[urgency.Class]float64) {
	due := make(map[urgency.Class]float64)
	for end := c.now.Add(d); c.now.Before(end); c.advance() {
		for _, class := range []urgency.Class{urgent, background} {
			for due[class] += perSecond[class] * step.Seconds(); due[class] >= 1; due[class]-- {
				c.arrive(class)
			}
		}
	}
}

var (
	urgent     = urgency.Class{Customer: 1, Route: 0}
	background = urgency.Class{Customer: 1, Route: 2}
	usualLoad  = map[urgency.Class]float64{urgent: 10, background: 4}
)

// share returns the share of a class's streams that were on time.
func (c *chain) share(class urgency.Class) float64 {
	return float64(c.results[class].onTime) / float64(c.results[class].asked)
}

var _ = Describe("Engines under a load that they cannot serve", func() {
	// Guards against urgent streams that are late while background work comes at several times its
	// usual rate.
	It("serve the urgent streams in time while background ones come at five times their rate", Label("failure:background-before-urgent"), func() {
		const wanted = 0.9
		for _, admit := range []bool{false, true} {
			c := newChain(admit)
			c.run(5*time.Second, usualLoad)
			c.run(14*time.Second, map[urgency.Class]float64{urgent: 10, background: 20})
			c.run(10*time.Second, usualLoad)
			c.run(drain, nil)
			AddReportEntry("urgent streams on time", c.share(urgent))
			AddReportEntry("background streams on time", c.share(background))
			Expect(c.share(urgent) >= wanted).To(Equal(admit))
			if admit {
				// What the chain can serve in time beside the urgent streams, of all that were asked.
				const onTimeStreams = 79 // in flight, with pauses of half the target
				perSecond := onTimeStreams/(streamEvents*pauseTarget.Seconds()/2) - usualLoad[urgent]
				possible := perSecond * 29 / float64(c.results[background].asked)
				Expect(c.share(background)).To(BeNumerically(">", 2*possible/3), "what is free is used")
			}
		}
	})

	// Guards against a site that is overloaded for long after the burst that overloaded it.
	It("leave the overload within three seconds of its cause", Label("failure:overload-outlasts-cause"), func() {
		const most = 3 * time.Second
		c := newChain(true)
		c.run(5*time.Second, usualLoad)
		c.run(4*time.Second, map[urgency.Class]float64{urgent: 40, background: 4})
		c.run(most, usualLoad)
		Expect(2 * c.pause()).To(BeNumerically("<=", pauseTarget))
		clear(c.results)
		c.run(5*time.Second, usualLoad)
		c.run(drain, nil)
		Expect(c.share(urgent)).To(BeNumerically(">=", 0.9))
	})

	// Guards against streams that go on starting on engines that have turned slow.
	It("take fewer streams once they are slow, and as many as before when they are fast again", Label("failure:slow-engines-overfilled"), func() {
		c := newChain(true)
		admitted := func(d time.Duration) int {
			clear(c.results)
			c.run(d, usualLoad)
			return c.results[urgent].admitted + c.results[background].admitted
		}
		c.run(5*time.Second, usualLoad)
		usual := admitted(5 * time.Second)
		c.slow = 4
		c.run(2*time.Second, usualLoad)
		Expect(admitted(5 * time.Second)).To(BeNumerically("<", 0.7*float64(usual)))
		c.slow = 1
		c.run(3*time.Second, usualLoad)
		Expect(admitted(5 * time.Second)).To(BeNumerically(">=", 0.9*float64(usual)))
		Expect(2 * c.pause()).To(BeNumerically("<=", pauseTarget))
	})
})
