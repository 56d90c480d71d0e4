package main

import (
	"path/filepath"
	"testing"
	"time"

	"github.com/hibiscuswick/hibiscuswick/state"
)

// TestLiveRunReplays records a short run of three daemons, one of which is
// drained, and replays it to the same decisions and the stated outcomes.
func TestLiveRunReplays(t *testing.T) {
	short := story{name: "short", run: func(r *rig) error {
		if err := r.mix(200*time.Millisecond, map[state.ClassID]int{classCheck: 6, classDraft: 3, classNote: 3, classAlert: 3}); err != nil {
			return err
		}
		r.using()[0].Drain(r.ctx)
		return r.mix(200*time.Millisecond, map[state.ClassID]int{classCheck: 6, classNote: 3})
	}}
	res, err := record(short, filepath.Join(t.TempDir(), "short.jsonl"))
	if err != nil {
		t.Fatal(err)
	}
	const sent = 24
	if res.Runs != sent || res.Events < res.Runs || res.Unfinished != 0 {
		t.Errorf("%+v, want %d requests, all of them ended", res, sent)
	}
}
