package gateway

import (
	"context"
	"errors"
	"io"
	"sync/atomic"
	"time"

	"github.com/hibiscuswick/hibiscuswick/coordination/relay"
	"github.com/hibiscuswick/hibiscuswick/coordination/suspect"
	"github.com/hibiscuswick/hibiscuswick/protocol/backend"
	"github.com/hibiscuswick/hibiscuswick/state/fleet"
	"github.com/hibiscuswick/hibiscuswick/telemetry"
)

const (
	// readSize is enough for some events at once: usual ones have under 100 bytes.
	readSize = 4 << 10
	// leastShare and mostShare are the parts of a route's longest pause after which
	// a hop counts as silent, by how long it is usually quiet. What is left of the
	// pause is needed to go on elsewhere: a probe and a prompt, some 100 ms.
	leastShare = 5
	mostShare  = 2
	// lookShare is the part after which a stream that is still silent looks again.
	lookShare = 8
	// firstShare is the same part of the target for the first event.
	firstShare = 2
)

// stream passes one answer's events on, whole ones only, so that another engine's
// events can follow the last one.
type stream struct {
	r      *run
	path   fleet.Path
	answer *backend.Answer
	cancel context.CancelFunc

	watch  *suspect.Stream
	timer  *time.Timer
	frames frames
	events int
	last   atomic.Int64 // when the last event came, in steady ns
	lost   atomic.Bool  // the answer was given up although all hops live
	ending atomic.Bool  // it was given up, or has ended
}

func newStream(r *run, path fleet.Path, answer *backend.Answer, cancel context.CancelFunc) *stream {
	s := &stream{r: r, path: path, answer: answer, cancel: cancel}
	s.last.Store(int64(r.g.steady(time.Now())))
	s.watch = r.g.book.follow(time.Now(), path)
	r.g.book.join(s)
	return s
}

// since is how long ago the last event came.
func (s *stream) since(now time.Time) time.Duration {
	return s.r.g.steady(now) - time.Duration(s.last.Load())
}

func (s *stream) close() {
	s.ending.Store(true)
	s.r.g.book.leave(s)
	if s.timer != nil {
		s.timer.Stop()
	}
}

// pump passes events on until the answer ends.
func (s *stream) pump() (relay.Outcome, Result) {
	buf := make([]byte, readSize)
	s.arm()
	for {
		n, err := s.answer.Body.Read(buf)
		if n > 0 {
			if werr := s.take(buf[:n]); werr != nil {
				return 0, Result{Outcome: CallerLeft, Reason: "caller_left"}
			}
		}
		if errors.Is(err, io.EOF) {
			return s.ended()
		}
		if err != nil {
			return s.broken(err)
		}
	}
}

// arm sets the watch for the next event. Only a stream that may go on elsewhere
// is watched.
func (s *stream) arm() {
	if s.r.route.Repeat != fleet.RunOn {
		return
	}
	gap := s.r.route.Gap / leastShare
	if s.events == 0 {
		gap = s.r.route.Target / firstShare
	}
	if gap <= 0 {
		return
	}
	if s.timer == nil {
		// It is set only once it stands in s: quiet, which sets it again, may run at once.
		s.timer = time.AfterFunc(time.Hour, s.quiet)
	}
	s.timer.Reset(gap)
}

// quiet is called when no event came for a while. A stream that is merely slow is
// left alone: going on elsewhere would cost a prompt and help nobody. One that is
// silent for much longer than is usual, although its hops live, has lost its answer.
func (s *stream) quiet() {
	if s.ending.Load() {
		return // the timer was set again while the stream ended
	}
	g, gap, now := s.r.g, s.r.route.Gap, time.Now()
	_, patience := g.book.patience(now, s.r.service.ID, s.r.route)
	if silence := s.since(now); patience > 0 && silence > patience && g.book.giveUp(s.r.service.ID) && s.mayGoOn() {
		s.lost.Store(true)
		s.ending.Store(true)
		g.log.Emit(telemetry.EventStreamSilent, telemetry.Request(s.r.req.ID), telemetry.Address(s.path[0].Address), telemetry.Took(silence))
		s.cancel()
		return
	}
	hops := g.book.silent(now, s.watch, gap/leastShare, gap/mostShare)
	g.prober.check(hops)
	if !s.ending.Load() {
		s.timer.Reset(gap / lookShare)
	}
}

// mayGoOn reports whether another engine takes the stream over if it is given up.
// Where none may, its own may yet go on, and ends it if not.
func (s *stream) mayGoOn() bool { return s.r.mayGoOn(s.path[0].Address) }

// hopDied is called when a server of the path was found dead.
func (s *stream) hopDied(h fleet.Hop) {
	if s.r.route.Repeat != fleet.RunOn || !s.mayGoOn() || !s.ending.CompareAndSwap(false, true) {
		return
	}
	s.r.g.log.Emit(telemetry.EventHopSilent, telemetry.Request(s.r.req.ID), telemetry.Backend(h.Server.ID), telemetry.Address(h.Address))
	s.cancel()
}

// take passes on the whole events that have come.
func (s *stream) take(b []byte) error {
	whole := s.frames.take(b)
	if len(whole) == 0 {
		return nil
	}
	if !s.r.headed {
		s.r.headed = true
		s.r.given()
		s.r.cleared()
		s.r.reply.WriteHeader(s.answer.Status, s.answer.Header)
	}
	if err := s.r.reply.Write(whole); err != nil {
		return err
	}
	s.events++
	now := time.Now()
	if s.events > 1 {
		s.r.g.book.tookGap(now, s.r.service.ID, s.since(now))
	}
	s.last.Store(int64(s.r.g.steady(now)))
	s.r.pauses.event(now, s.r.req.Arrived, s.path[0].Address)
	if id, ok := lastID(whole); ok {
		s.r.after = id
	}
	s.r.g.book.progress(now, s)
	s.arm()
	return nil
}

// ended is the end of a whole answer. One that ends within an event is not whole.
func (s *stream) ended() (relay.Outcome, Result) {
	if s.frames.open() {
		return s.broken(io.ErrUnexpectedEOF)
	}
	if !s.r.headed {
		return 0, s.r.pass(s.answer, nil)
	}
	s.r.g.book.answered(time.Now(), s.path[0].Address)
	return 0, Result{Outcome: Answered}
}

// broken is the end of an answer that broke off.
func (s *stream) broken(err error) (relay.Outcome, Result) {
	s.r.g.log.Emit(telemetry.EventStreamBroken, telemetry.Request(s.r.req.ID), telemetry.Address(s.path[0].Address),
		telemetry.Count(s.events), telemetry.Cause(err))
	switch {
	case s.lost.Load() && !s.r.last(s.path[0].Address):
		s.r.avoidFrom(s.path[0].Address)
	case s.lost.Load():
		// No further engine may run it: the one that lost this answer, and lives, is
		// the only one that may still give it.
	case !errors.Is(err, context.Canceled):
		s.r.g.book.failed(time.Now(), s.path[0].Address)
	}
	return relay.Broken, Result{}
}
