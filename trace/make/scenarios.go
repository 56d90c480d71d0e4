package main

import (
	"time"

	"github.com/hibiscuswick/hibiscuswick/state"
)

// scenario is one run to be recorded.
type scenario struct {
	name string
	run  func(r *harness) error
}

var scenarios = []scenario{
	{"counter-morning", counterMorning},
	{"renewal-week", renewalWeek},
	{"rolling-restart", rollingRestart},
}

// counterMorning sends many short checks together with long drafts, more than there are
// slots at one time.
func counterMorning(r *harness) error {
	return r.sendMix(time.Second, map[state.ClassID]int{classCheck: 45, classDraft: 12})
}

// renewalWeek makes the store unavailable while notes and alerts arrive, which must not
// be repeated and therefore wait for it. Later a stage dies while it runs drafts, which
// may be repeated, and its process restarts.
func renewalWeek(r *harness) error {
	if err := r.sendMix(200*time.Millisecond, map[state.ClassID]int{classNote: 4, classAlert: 4, classDraft: 2}); err != nil {
		return err
	}
	r.recorder.Fault("store down", "")
	r.Platform.Down(true)
	if err := r.sendMix(time.Second, map[state.ClassID]int{classNote: 6, classAlert: 6, classDraft: 4}); err != nil {
		return err
	}
	r.recorder.Fault("store up", "")
	r.Platform.Down(false)
	if err := r.sendMix(300*time.Millisecond, map[state.ClassID]int{classNote: 4, classAlert: 4}); err != nil {
		return err
	}
	r.callers.Wait()
	return stageDies(r)
}

func stageDies(r *harness) error {
	if err := r.sendMix(100*time.Millisecond, map[state.ClassID]int{classDraft: 8}); err != nil {
		return err
	}
	stage := chains.Engine(1, 2)
	r.recorder.Fault("stage killed", string(stage))
	r.Engines[stage].Kill()
	if err := r.sendMix(300*time.Millisecond, map[state.ClassID]int{classDraft: 4}); err != nil {
		return err
	}
	r.recorder.Fault("stage restarted", string(stage))
	if err := r.Engines[stage].Restart(); err != nil {
		return err
	}
	return r.sendMix(time.Second, map[state.ClassID]int{classCheck: 16})
}

// rollingRestart drains one daemon after another under load and replaces it.
func rollingRestart(r *harness) error {
	for range daemons {
		old := r.activeDaemons()[0]
		if err := r.sendMix(200*time.Millisecond, map[state.ClassID]int{classCheck: 5, classDraft: 2, classNote: 2, classAlert: 2}); err != nil {
			return err
		}
		r.recorder.Fault("daemon drained", string(old.DaemonStatus(r.ctx).ID))
		old.Drain(r.ctx)
		if err := r.sendMix(600*time.Millisecond, map[state.ClassID]int{classCheck: 6, classDraft: 2, classNote: 2, classAlert: 2}); err != nil {
			return err
		}
		select {
		case <-old.Done():
		case <-r.ctx.Done():
			return r.ctx.Err()
		}
		r.removeDaemon(old)
		if err := r.addDaemon(); err != nil {
			return err
		}
		if err := r.awaitServing(); err != nil {
			return err
		}
	}
	return nil
}
