package retry

import "time"

// bucketCount is the number of buckets of a window. The window covers between
// bucketCount-1 and bucketCount times the bucket width.
const bucketCount = 10

// window counts successes and retries over a sliding window. The zero value is empty.
type window struct {
	newest    int64 // number of the newest bucket, counted from Budgets.start
	succeeded [bucketCount]uint32
	retried   [bucketCount]uint32
	successes uint32 // sum of succeeded
	retries   uint32 // sum of retried
}

// advance drops the buckets that have left the window when bucket is the newest. An
// older bucket changes nothing, since time does not go back.
func (w *window) advance(bucket int64) {
	if bucket <= w.newest {
		return
	}
	if bucket-w.newest >= bucketCount {
		*w = window{newest: bucket}
		return
	}
	for w.newest < bucket {
		w.newest++
		i := w.newest % bucketCount
		w.successes -= w.succeeded[i]
		w.retries -= w.retried[i]
		w.succeeded[i] = 0
		w.retried[i] = 0
	}
}

func (w *window) addSuccess(bucket int64) {
	w.advance(bucket)
	w.succeeded[w.newest%bucketCount]++
	w.successes++
}

func (w *window) addRetry() {
	w.retried[w.newest%bucketCount]++
	w.retries++
}

// permits reports whether one more retry stays within the larger of floor and ratio
// times the number of successes.
func (w *window) permits(bucket int64, floor int, ratio float64) bool {
	w.advance(bucket)
	budget := max(float64(floor), ratio*float64(w.successes))
	return float64(w.retries)+1 <= budget
}

// idle reports whether the window is empty.
func (w *window) idle(bucket int64) bool {
	w.advance(bucket)
	return w.successes == 0 && w.retries == 0
}

// bucketOf returns the bucket number of now, counted from 0 at start.
func bucketOf(start, now time.Time, width time.Duration) int64 {
	return max(0, int64(now.Sub(start)/width))
}
