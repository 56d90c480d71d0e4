package scenario_test

import (
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/cockroachdb/datadriven"

	"github.com/hibiscuswick/hibiscuswick/scenario"
)

// TestStories runs each scenario file below testdata and compares the output of its
// commands. -rewrite replaces the expected output by the current one.
func TestStories(t *testing.T) {
	datadriven.Walk(t, "testdata", func(t *testing.T, path string) {
		if !strings.HasSuffix(path, ".scenario") {
			return
		}
		var s scenario.Script
		datadriven.RunTest(t, path, func(t *testing.T, d *datadriven.TestData) string {
			out := s.Run(d)
			if strings.Contains(out, "VIOLATION") || strings.HasPrefix(out, "error:") {
				t.Errorf("%s: %s", d.Pos, out)
			}
			return out
		})
	})
}

func TestPageListsCommands(t *testing.T) {
	page, err := os.ReadFile(filepath.Join("..", "docs", "SCENARIOS.md"))
	if err != nil {
		t.Fatal(err)
	}
	for _, name := range scenario.Commands() {
		if !strings.Contains(string(page), "`"+name) {
			t.Errorf("docs/SCENARIOS.md does not list %s", name)
		}
	}
}
