package answersize

import "math"

const (
	// tailPerOctave is the number of buckets for ratios between one and twice a value: four bound
	// the error of a ratio's bucket to a fifth.
	tailPerOctave = 4
	// tailLowest is the binary logarithm of the smallest ratio that is told apart.
	tailLowest = -4
	// tailBuckets reach to a ratio of 2^6.
	tailBuckets = 40
)

// tail is the distribution of the ratio of an answer's length to its estimate, of which old
// observations are forgotten.
type tail struct {
	weights [tailBuckets]float64
	sums    [tailBuckets]float64 // of the ratios
}

// bucketOf returns the bucket of a ratio.
func bucketOf(ratio float64) int {
	at := math.Floor(tailPerOctave * (math.Log2(ratio) - tailLowest))
	return int(min(max(at, 0), tailBuckets-1))
}

func (t *tail) add(ratio float64) {
	const keep = 1 - 1/memory
	for i := range t.weights {
		t.weights[i] *= keep
		t.sums[i] *= keep
	}
	at := bucketOf(ratio)
	t.weights[at]++
	t.sums[at] += ratio
}

// meanBeyond returns the mean of the ratios beyond one that an answer has reached. Without
// observations it is the ratio of the estimate itself, or the one that was reached.
func (t *tail) meanBeyond(reached float64) float64 {
	weight := priorWeight
	sum := priorWeight * max(1, reached)
	for i := bucketOf(reached); i < tailBuckets; i++ {
		// Of the bucket that has been reached, answers below it are counted as if they ended now.
		weight += t.weights[i]
		sum += max(t.sums[i], t.weights[i]*reached)
	}
	return sum / weight
}
