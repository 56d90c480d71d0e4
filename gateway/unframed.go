package gateway

import (
	"time"

	"github.com/hibiscuswick/hibiscuswick/protocol/backend"
)

// probeUnframed finds out whether the server of an answer that has just ended with its connection
// has ended too, so that the answer may be cut off. It returns probeAlive for an answer with an
// end mark.
//
// Guard (cut-answer-looks-complete): the kernel closes the connections of a server that is killed as
// it closes those of a server that has written its whole answer.
func (r *requestHandler) probeUnframed(answer *backend.Answer) probeOutcome {
	if !answer.Unframed {
		return probeAlive
	}
	first := r.path[0]
	result := r.g.prober.probeSince(probeUnframed, time.Now(), first.Server, first.Address)
	if result.provesEnd(first.Server) {
		return probeDead
	}
	return result.outcome
}
