package documents

import (
	"slices"
	"strings"
	"time"

	"github.com/hibiscuswick/hibiscuswick/state"
)

// RolloutConfig holds the parameters of a Rollout.
type RolloutConfig struct {
	BatchSize    int           // daemons queried at one time
	PollInterval time.Duration // time between queries to a lagging daemon
}

// DefaultRolloutConfig returns the values that a daemon uses.
func DefaultRolloutConfig() RolloutConfig {
	return RolloutConfig{BatchSize: 64, PollInterval: 250 * time.Millisecond}
}

// Rollout determines when all live daemons have an active version of a service. It implements
// "apply --wait" and exists only while a caller waits.
type Rollout struct {
	cfg     RolloutConfig
	service state.ServiceID
	version state.DocumentVersion
	lagging map[state.Member]time.Time // time of the last query
}

// NewRollout returns a Rollout over the other live daemons.
func NewRollout(cfg RolloutConfig, service state.ServiceID, version state.DocumentVersion, live []state.Member) *Rollout {
	r := &Rollout{cfg: cfg, service: service, version: version, lagging: make(map[state.Member]time.Time, len(live))}
	for _, m := range live {
		r.lagging[m] = time.Time{}
	}
	return r
}

// Done reports whether all daemons have the version.
func (r *Rollout) Done() bool {
	return len(r.lagging) == 0
}

// Lagging returns the daemons not known to have the version, sorted by ID.
func (r *Rollout) Lagging() []state.Member {
	list := make([]state.Member, 0, len(r.lagging))
	for m := range r.lagging {
		list = append(list, m)
	}
	slices.SortFunc(list, func(a, b state.Member) int { return strings.Compare(string(a.ID), string(b.ID)) })
	return list
}

// HandleResponse handles a daemon's answer.
func (r *Rollout) HandleResponse(from state.Member, msg VersionResponse) {
	if msg.Service == r.service && msg.Version >= r.version {
		delete(r.lagging, from)
	}
}

// Remove removes a daemon that died or left, whose version no longer matters.
func (r *Rollout) Remove(m state.Member) {
	delete(r.lagging, m)
}

// NextRequests returns the queries that are due. It has to be called about every PollInterval.
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
