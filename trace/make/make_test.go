package main

import (
	"path/filepath"
	"testing"
	"time"

	"github.com/hibiscuswick/hibiscuswick/state"
)

// TestLiveRunReplays records a short run of three daemons, one of which is drained, and
// checks that it replays to the same decisions and the stated outcomes.
func TestLiveRunReplays(t *testing.T) {
	short := scenario{name: "short", run: func(r *harness) error {
		if err := r.sendMix(200*time.Millisecond, map[state.ClassID]int{classCheck: 6, classDraft: 3, classNote: 3, classAlert: 3}); err != nil {
			return err
		}
		r.activeDaemons()[0].Drain(r.ctx)
		return r.sendMix(200*time.Millisecond, map[state.ClassID]int{classCheck: 6, classNote: 3})
	}}
	res, err := record(short, filepath.Join(t.TempDir(), "short.jsonl"))
	if err != nil {
		t.Fatal(err)
	}
	const sent = 24
	if res.Runs != sent || res.Events < res.Runs || res.Unfinished != 0 {
		t.Errorf("got %+v, want %d requests, all with an outcome", res, sent)
	}
}
