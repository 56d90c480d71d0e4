package main

import (
	"path/filepath"
	"testing"

	"github.com/rogpeppe/go-internal/testscript"

	scenario "github.com/hibiscuswick/hibiscuswick/scenario/daemon"
)

// TestDaemonStories runs the stories of whole daemons, each against a site of its
// own; see docs/SCENARIOS.md.
func TestDaemonStories(t *testing.T) {
	cmds := scenario.Commands()
	cmds["exit"] = exit
	testscript.Run(t, testscript.Params{
		Dir:   filepath.Join("..", "..", "scenario", "daemon", "testdata"),
		Setup: scenario.Setup,
		Cmds:  cmds,
	})
}
