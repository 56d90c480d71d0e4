package crashes

import "time"

// maxRecent is about how many fingerprints a recentTimes holds.
const maxRecent = 4096

// recentTimes holds the latest times of up to about maxRecent fingerprints: when one half is full,
// the older half is dropped.
type recentTimes struct {
	newer, older map[Fingerprint]time.Time
}

func (r *recentTimes) set(fp Fingerprint, at time.Time) {
	if _, ok := r.newer[fp]; !ok && (r.newer == nil || len(r.newer) >= maxRecent/2) {
		r.newer, r.older = make(map[Fingerprint]time.Time), r.newer
	}
	r.newer[fp] = at
}

func (r *recentTimes) get(fp Fingerprint) time.Time {
	if at, ok := r.newer[fp]; ok {
		return at
	}
	return r.older[fp]
}
