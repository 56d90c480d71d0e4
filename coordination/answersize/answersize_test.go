package answersize_test

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"github.com/hibiscuswick/hibiscuswick/coordination/answersize"
)

// defaultShare is the share of the longest answer that is assumed before anything is observed.
const defaultShare = 0.4

// traffic draws answers of one route: lognormal lengths, half of the requests with a hint that is
// right at the median and off by a lognormal factor.
type traffic struct {
	rng        *rand.Rand
	longest    int
	median     float64
	spread     float64 // of the logarithm of lengths
	hintSpread float64 // of the logarithm of the hints' errors
}

func newTraffic(seed uint64) *traffic {
	return &traffic{rng: rand.New(rand.NewPCG(seed, 1)), longest: 600, median: 100, spread: 1, hintSpread: 1}
}

// next returns a request and the length of its answer.
func (t *traffic) next() (answersize.Request, int) {
	length := t.clamp(t.median * math.Exp(t.spread*t.rng.NormFloat64()))
	r := answersize.Request{Route: "r", Longest: t.longest}
	if t.rng.IntN(2) == 0 {
		r.Hint = max(int(float64(length)*math.Exp(t.hintSpread*t.rng.NormFloat64())), 1)
	}
	return r, length
}

func (t *traffic) clamp(tokens float64) int { return min(max(int(tokens), 1), t.longest) }

// errorsOf are the errors of estimates, as shares of the answers' mean length.
type errorsOf struct{ each, load float64 }

// streams is how many answers run at a time whose estimates are added up.
const streams = 60

// measure returns the errors of an estimate for single answers, and for the sums over as many as
// run at a time.
func measure(t *traffic, requests int, estimate func(answersize.Request) float64, observe func(answersize.Request, int)) errorsOf {
	var out errorsOf
	total, sum, diff := 0.0, 0.0, 0.0
	for i := range requests {
		r, length := t.next()
		got := estimate(r)
		total += float64(length)
		out.each += math.Abs(got - float64(length))
		diff += got - float64(length)
		if i%streams == streams-1 {
			sum += math.Abs(diff)
			diff = 0
		}
		observe(r, length)
	}
	return errorsOf{each: out.each / total, load: sum / total}
}

// learning returns the functions of an estimator for measure.
func learning(e *answersize.Estimator) (func(answersize.Request) float64, func(answersize.Request, int)) {
	return func(r answersize.Request) float64 { return e.Expected(r).Tokens },
		func(r answersize.Request, length int) { e.Observe(r, e.Expected(r).Tokens, length) }
}

func ignore(answersize.Request, int) {}

const warmUp, measured = 1200, 6000

var _ = Describe("The expected length of an answer", func() {
	// Callers' estimates are right at the median and off by a factor of 2.7 for a third of them.
	It("comes from the hint, corrected by what such hints meant", func() {
		t := newTraffic(1)
		e := answersize.New(defaultShare)
		estimate, observe := learning(e)
		measure(t, warmUp, estimate, observe)
		corrected := measure(t, measured, estimate, observe)
		fixed := measure(newTraffic(2), measured, func(r answersize.Request) float64 { return defaultShare * float64(r.Longest) }, ignore)
		raw := measure(newTraffic(2), measured, func(r answersize.Request) float64 {
			if r.Hint > 0 {
				return float64(min(r.Hint, r.Longest))
			}
			return defaultShare * float64(r.Longest)
		}, ignore)
		median := measure(newTraffic(2), measured, newMedians().estimate(warmUp, newTraffic(3)), ignore)
		AddReportEntry("errors", fmt.Sprintf("fixed share %+v, hint alone %+v, medians %+v, means %+v", fixed, raw, median, corrected))
		Expect(corrected.load).To(BeNumerically("<", fixed.load/3))
		Expect(corrected.load).To(BeNumerically("<", raw.load/2))
		Expect(corrected.load).To(BeNumerically("<", median.load))
		Expect(corrected.each).To(BeNumerically("<", fixed.each))
		Expect(corrected.each).To(BeNumerically("<", raw.each))
	})

	// A caller that states nonsense is served, and its answers spoil no other estimate by more than
	// the route's own spread.
	It("is the route's mean for hints that mean nothing", Label("failure:meaningless-length-hint"), func() {
		for name, hint := range map[string]func(*rand.Rand) int{
			"constant": func(*rand.Rand) int { return 400 },
			"random":   func(r *rand.Rand) int { return 1 + r.IntN(600) },
			"huge":     func(*rand.Rand) int { return math.MaxInt },
			"tiny":     func(*rand.Rand) int { return 1 },
			"zero":     func(*rand.Rand) int { return 0 },
			"negative": func(*rand.Rand) int { return -5 },
		} {
			t := newTraffic(4)
			e := answersize.New(defaultShare)
			estimate, observe := learning(e)
			garbage := func(f func(answersize.Request) float64) func(answersize.Request) float64 {
				return func(r answersize.Request) float64 { r.Hint = hint(t.rng); return f(r) }
			}
			record := func(r answersize.Request, length int) { r.Hint = hint(t.rng); observe(r, length) }
			measure(t, warmUp, garbage(estimate), record)
			got := measure(t, measured, garbage(estimate), record)
			without := measure(newTraffic(4), measured, learnedMean(newTraffic(5)), ignore)
			Expect(got.load).To(BeNumerically("<", 1.5*without.load), name)
			Expect(got.each).To(BeNumerically("<", 1.2*without.each), name)
		}
	})

	// One customer of five overstates each answer tenfold; the estimates of the others stay better
	// than those of a fixed share.
	It("survives a customer whose hints are false", Label("failure:meaningless-length-hint"), func() {
		t := newTraffic(6)
		e := answersize.New(defaultShare)
		estimate, observe := learning(e)
		lying := func(r answersize.Request, length int) {
			if r.Hint > 0 && t.rng.IntN(5) == 0 {
				r.Hint = 10 * length
			}
			observe(r, length)
		}
		measure(t, warmUp, estimate, lying)
		got := measure(t, measured, estimate, lying)
		fixed := measure(newTraffic(2), measured, func(r answersize.Request) float64 { return defaultShare * float64(r.Longest) }, ignore)
		Expect(got.load).To(BeNumerically("<", fixed.load/2))
		Expect(got.each).To(BeNumerically("<", fixed.each))
	})

	It("follows a route whose answers grow", func() {
		t := newTraffic(7)
		t.median, t.spread = 30, 0.3
		e := answersize.New(defaultShare)
		estimate, observe := learning(e)
		measure(t, warmUp, estimate, observe)
		Expect(estimate(answersize.Request{Route: "r", Longest: t.longest})).To(BeNumerically("~", 31, 4))
		t.median = 240
		measure(t, warmUp, estimate, observe) // half of them without a hint: more than twice the memory
		Expect(estimate(answersize.Request{Route: "r", Longest: t.longest})).To(BeNumerically("~", 250, 40))
		Expect(measure(t, measured, estimate, observe).load).To(BeNumerically("<", 0.06))
	})

	// A daemon restarts and knows nothing.
	It("is the fixed share before anything is observed, and moves from there", func() {
		e := answersize.New(defaultShare)
		for _, hint := range []int{0, 5, 590, 100000} {
			got := e.Expected(answersize.Request{Route: "r", Hint: hint, Longest: 600})
			Expect(got).To(Equal(answersize.Estimate{Tokens: 240, Basis: answersize.BasisDefault}))
		}
		Expect(e.Expected(answersize.Request{Route: "r", Hint: 50}).Tokens).To(BeZero(), "no size is stated")
		e.Observe(answersize.Request{Route: "r", Longest: 600}, 240, 20)
		Expect(e.Expected(answersize.Request{Route: "r", Longest: 600}).Tokens).To(BeNumerically("~", 215, 2))
		Expect(e.Expected(answersize.Request{Route: "other", Longest: 600}).Tokens).To(Equal(240.0))
	})

	It("remembers a bounded number of routes", func() {
		e := answersize.New(defaultShare)
		for i := range answersize.MaxRoutes + 1 {
			e.Observe(answersize.Request{Route: fmt.Sprint(i), Longest: 600}, 240, 20)
		}
		Expect(e.Expected(answersize.Request{Route: "0", Longest: 600}).Basis).To(Equal(answersize.BasisDefault))
		Expect(e.Expected(answersize.Request{Route: "1", Longest: 600}).Basis).To(Equal(answersize.BasisRoute))
	})

	It("stays between one token and the longest answer", func() {
		rapid.Check(GinkgoT(), func(t *rapid.T) {
			e := answersize.New(defaultShare)
			for range rapid.IntRange(1, 60).Draw(t, "requests") {
				r := answersize.Request{
					Route: rapid.SampledFrom([]string{"a", "b"}).Draw(t, "route"),
					Hint:  rapid.Int().Draw(t, "hint"), Longest: rapid.IntRange(0, 10<<20).Draw(t, "longest"),
				}
				got := e.Expected(r).Tokens
				produced := rapid.Float64Range(0, 2e10).Draw(t, "produced")
				total := e.Total(r, got, produced)
				if r.Longest == 0 {
					Expect(got).To(BeZero())
					Expect(total).To(BeZero())
				} else {
					Expect(got).To(And(BeNumerically(">=", 1), BeNumerically("<=", r.Longest)))
					Expect(total).To(And(BeNumerically(">=", min(produced, float64(r.Longest))), BeNumerically("<=", r.Longest)))
				}
				e.Observe(r, got, rapid.Int().Draw(t, "length"))
				Expect(math.IsNaN(e.Error()) || math.IsInf(e.Error(), 0)).To(BeFalse())
			}
		})
	})
})

var _ = Describe("The expected length of a running answer", func() {
	// Long answers among many short ones.
	It("is the mean of the longer ones", func() {
		t := newTraffic(8)
		e := answersize.New(defaultShare)
		estimate, observe := learning(e)
		measure(t, warmUp, estimate, observe)
		r := answersize.Request{Route: "r", Longest: t.longest}
		expected := e.Expected(r).Tokens
		for _, produced := range []float64{50, 100, 200, 300} {
			sum, count := 0.0, 0.0
			for range 20000 {
				if q, length := t.next(); q.Hint == 0 && float64(length) > produced {
					sum += float64(length)
					count++
				}
			}
			Expect(e.Total(r, expected, produced)).To(BeNumerically("~", sum/count, 0.2*sum/count), "%v produced", produced)
		}
	})

	It("is the estimate until it is exceeded, if nothing is known", func() {
		e := answersize.New(defaultShare)
		r := answersize.Request{Route: "r", Longest: 600}
		Expect(e.Total(r, 240, 0)).To(Equal(240.0))
		Expect(e.Total(r, 240, 200)).To(Equal(240.0))
		Expect(e.Total(r, 240, 300)).To(Equal(300.0))
	})
})

// learnedMean returns the estimate of the mean length of a sample.
func learnedMean(t *traffic) func(answersize.Request) float64 {
	sum := 0.0
	for range measured {
		_, length := t.next()
		sum += float64(length)
	}
	return func(answersize.Request) float64 { return sum / measured }
}

// medians estimates by the median ratio of answers to hints, or to the longest answer.
type medians map[int][]float64 // by the band of the hint, -1 without one

func newMedians() medians { return medians{} }

func (m medians) keyOf(r answersize.Request) (band int, whole float64) {
	if r.Hint <= 0 {
		return -1, float64(r.Longest)
	}
	hint := float64(min(r.Hint, r.Longest))
	return int(math.Log2(hint)), hint
}

func (m medians) estimate(n int, t *traffic) func(answersize.Request) float64 {
	for range n {
		r, length := t.next()
		band, whole := m.keyOf(r)
		m[band] = append(m[band], float64(length)/whole)
	}
	for _, ratios := range m {
		slices.Sort(ratios)
	}
	return func(r answersize.Request) float64 {
		band, whole := m.keyOf(r)
		ratios := m[band]
		if len(ratios) == 0 {
			return defaultShare * float64(r.Longest)
		}
		return ratios[len(ratios)/2] * whole
	}
}

// BenchmarkExpected measures what a request costs: one estimate, four checks while its answer runs,
// and one observation.
func BenchmarkExpected(b *testing.B) {
	e := answersize.New(defaultShare)
	t := newTraffic(9)
	names := make([]string, 480)
	for i := range names {
		names[i] = fmt.Sprint("route-", i)
	}
	b.ReportAllocs()
	for i := 0; b.Loop(); i++ {
		r := answersize.Request{Route: names[i%len(names)], Hint: 1 + i%500, Longest: t.longest}
		expected := e.Expected(r).Tokens
		for produced := 40.0; produced <= 160; produced += 40 {
			_ = e.Total(r, expected, produced)
		}
		e.Observe(r, expected, 1+i%t.longest)
	}
}
