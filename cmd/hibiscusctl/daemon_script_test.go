package main

import (
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/rogpeppe/go-internal/testscript"

	scenario "github.com/hibiscuswick/hibiscuswick/scenario/daemon"
)

// TestDaemonStories runs the scenarios of complete daemons, each against its own
// site; see docs/SCENARIOS.md.
func TestDaemonStories(t *testing.T) {
	cmds := scenario.Commands()
	cmds["exit"] = exit
	testscript.Run(t, testscript.Params{
		Dir:   filepath.Join("..", "..", "scenario", "daemon", "testdata"),
		Setup: scenario.Setup,
		Cmds:  cmds,
	})
}

func TestScenarioPageListsCommands(t *testing.T) {
	page, err := os.ReadFile(filepath.Join("..", "..", "docs", "SCENARIOS.md"))
	if err != nil {
		t.Fatal(err)
	}
	for name := range scenario.Commands() {
		if !strings.Contains(string(page), "`"+name) {
			t.Errorf("docs/SCENARIOS.md does not list %s", name)
		}
	}
}
