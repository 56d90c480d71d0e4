package retry

import "time"

// buckets is how finely a window slides: it covers between buckets-1 and
// buckets times the bucket's width.
const buckets = 10

// window counts the successes and retries of the recent past. Its zero value
// is empty.
type window struct {
	newest    int64 // number of the newest bucket since the epoch of Budgets
	succeeded [buckets]uint32
	retried   [buckets]uint32
	successes uint32 // sum of succeeded
	retries   uint32 // sum of retried
}

// slide drops what has left the window when bucket is the newest. A bucket
// before the newest changes nothing: time does not go back.
func (w *window) slide(bucket int64) {
	if bucket <= w.newest {
		return
	}
	if bucket-w.newest >= buckets {
		*w = window{newest: bucket}
		return
	}
	for w.newest < bucket {
		w.newest++
		i := w.newest % buckets
		w.successes -= w.succeeded[i]
		w.retries -= w.retried[i]
		w.succeeded[i] = 0
		w.retried[i] = 0
	}
}

func (w *window) succeed(bucket int64) {
	w.slide(bucket)
	w.succeeded[w.newest%buckets]++
	w.successes++
}

func (w *window) retry() {
	w.retried[w.newest%buckets]++
	w.retries++
}

// permits reports whether one more retry stays within the larger of floor and
// ratio times the successes.
func (w *window) permits(bucket int64, floor int, ratio float64) bool {
	w.slide(bucket)
	budget := max(float64(floor), ratio*float64(w.successes))
	return float64(w.retries)+1 <= budget
}

// idle reports whether nothing is left in the window.
func (w *window) idle(bucket int64) bool {
	w.slide(bucket)
	return w.successes == 0 && w.retries == 0
}

// bucketOf numbers the bucket of now, from 0 at start.
func bucketOf(start, now time.Time, width time.Duration) int64 {
	return max(0, int64(now.Sub(start)/width))
}
