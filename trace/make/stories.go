package main

import (
	"time"

	"github.com/hibiscuswick/hibiscuswick/state"
)

// story is one recording.
type story struct {
	name string
	run  func(r *rig) error
}

var stories = []story{
	{"counter-morning", counterMorning},
	{"renewal-week", renewalWeek},
	{"rolling-restart", rollingRestart},
}

// counterMorning is a counter app's morning: many short checks come beside long
// drafts, more than there are slots for at one time.
func counterMorning(r *rig) error {
	return r.mix(time.Second, map[state.ClassID]int{classCheck: 45, classDraft: 12})
}

// renewalWeek is a week of contract renewals, in seconds. The store is away while
// notes and alerts come, which may not be repeated: they wait for it. Later a stage
// dies under explanations, which may be repeated, and its process comes back.
func renewalWeek(r *rig) error {
	if err := r.mix(200*time.Millisecond, map[state.ClassID]int{classNote: 4, classAlert: 4, classDraft: 2}); err != nil {
		return err
	}
	r.notes.Fault("store down", "")
	r.Platform.Down(true)
	if err := r.mix(time.Second, map[state.ClassID]int{classNote: 6, classAlert: 6, classDraft: 4}); err != nil {
		return err
	}
	r.notes.Fault("store up", "")
	r.Platform.Down(false)
	if err := r.mix(300*time.Millisecond, map[state.ClassID]int{classNote: 4, classAlert: 4}); err != nil {
		return err
	}
	r.callers.Wait()
	return stageDies(r)
}

func stageDies(r *rig) error {
	if err := r.mix(100*time.Millisecond, map[state.ClassID]int{classDraft: 8}); err != nil {
		return err
	}
	stage := chains.Engine(1, 2)
	r.notes.Fault("stage killed", string(stage))
	r.Engines[stage].Kill()
	if err := r.mix(300*time.Millisecond, map[state.ClassID]int{classDraft: 4}); err != nil {
		return err
	}
	r.notes.Fault("stage restarted", string(stage))
	if err := r.Engines[stage].Restart(); err != nil {
		return err
	}
	return r.mix(time.Second, map[state.ClassID]int{classCheck: 16})
}

// rollingRestart drains each daemon in turn under load and starts another in its
// place.
func rollingRestart(r *rig) error {
	for range daemons {
		old := r.using()[0]
		if err := r.mix(200*time.Millisecond, map[state.ClassID]int{classCheck: 5, classDraft: 2, classNote: 2, classAlert: 2}); err != nil {
			return err
		}
		r.notes.Fault("daemon drained", string(old.DaemonStatus(r.ctx).ID))
		old.Drain(r.ctx)
		if err := r.mix(600*time.Millisecond, map[state.ClassID]int{classCheck: 6, classDraft: 2, classNote: 2, classAlert: 2}); err != nil {
			return err
		}
		select {
		case <-old.Done():
		case <-r.ctx.Done():
			return r.ctx.Err()
		}
		r.forget(old)
		if err := r.addDaemon(); err != nil {
			return err
		}
		if err := r.awaitServing(); err != nil {
			return err
		}
	}
	return nil
}
