package documents

import (
	"slices"
	"strings"
	"time"

	"github.com/hibiscuswick/hibiscuswick/state"
)

// RolloutConfig tunes a Rollout.
type RolloutConfig struct {
	BatchSize    int           // daemons asked at one time
	PollInterval time.Duration // time between questions to one that lags
}

// DefaultRolloutConfig returns the values used by a daemon.
func DefaultRolloutConfig() RolloutConfig {
	return RolloutConfig{BatchSize: 64, PollInterval: 250 * time.Millisecond}
}

// Rollout waits until all live daemons have a version of a service in force; it
// is the machine behind "apply --wait", and lives only while someone waits.
type Rollout struct {
	cfg     RolloutConfig
	service state.ServiceID
	version state.DocumentVersion
	lagging map[state.Member]time.Time // when last asked
}

// NewRollout returns a Rollout over the other live daemons.
func NewRollout(cfg RolloutConfig, service state.ServiceID, version state.DocumentVersion, live []state.Member) *Rollout {
	r := &Rollout{cfg: cfg, service: service, version: version, lagging: make(map[state.Member]time.Time, len(live))}
	for _, m := range live {
		r.lagging[m] = time.Time{}
	}
	return r
}

// Done reports whether all have the version.
func (r *Rollout) Done() bool {
	return len(r.lagging) == 0
}

// Lagging lists the daemons not known to have the version, by name.
func (r *Rollout) Lagging() []state.Member {
	list := make([]state.Member, 0, len(r.lagging))
	for m := range r.lagging {
		list = append(list, m)
	}
	slices.SortFunc(list, func(a, b state.Member) int { return strings.Compare(string(a.ID), string(b.ID)) })
	return list
}

// Heard takes a daemon's answer.
func (r *Rollout) HandleResponse(from state.Member, msg VersionResponse) {
	if msg.Service == r.service && msg.Version >= r.version {
		delete(r.lagging, from)
	}
}

// Gone drops a daemon that died or left: what it had no longer matters.
func (r *Rollout) Remove(m state.Member) {
	delete(r.lagging, m)
}

// Ask returns the questions that are due, to be called every AskEvery or so.
func (r *Rollout) NextRequests(now time.Time) []Send {
	var out []Send
	for _, m := range r.Lagging() {
		if len(out) == r.cfg.BatchSize {
			break
		}
		if now.Sub(r.lagging[m]) < r.cfg.PollInterval {
			continue
		}
		r.lagging[m] = now
		out = append(out, Send{To: m, Msg: VersionRequest{Service: r.service}})
	}
	return out
}
