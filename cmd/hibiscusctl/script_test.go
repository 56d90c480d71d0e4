package main

import (
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/rogpeppe/go-internal/testscript"

	"github.com/hibiscuswick/hibiscuswick/ctl/ctltest"
	"github.com/hibiscuswick/hibiscuswick/state"
	"github.com/hibiscuswick/hibiscuswick/state/service"
)

func TestMain(m *testing.M) {
	testscript.Main(m, map[string]func(){"hibiscusctl": main})
}

type clusterKey struct{}

// TestScripts runs the scripts below testdata/script, each against its own cluster
// of fake daemons a, b and c at $A, $B and $C. Commands in addition to testscript's:
//
//	exit CODE COMMAND...       run a command and require the exit code CODE
//	commit VERSION EDIT FILE   make a document the active version
//	daemon NAME CHANGE         change a daemon: lag, catch-up, lose (responses), stop
//	polled NAME                wait until a daemon's documents were listed twice more
//	draining NAME              check that a daemon is draining
func TestScripts(t *testing.T) {
	testscript.Run(t, testscript.Params{
		Dir: filepath.Join("testdata", "script"),
		Setup: func(env *testscript.Env) error {
			cluster := ctltest.New("a", "b", "c")
			env.Defer(cluster.Close)
			env.Values[clusterKey{}] = cluster
			for _, id := range []state.DaemonID{"a", "b", "c"} {
				env.Setenv(strings.ToUpper(string(id)), cluster.URL(id))
			}
			return copyExamples(env.WorkDir)
		},
		Cmds: map[string]func(*testscript.TestScript, bool, []string){
			"exit": exit, "commit": commit, "daemon": changeDaemon, "draining": draining, "polled": polled,
		},
	})
}

func copyExamples(dir string) error {
	for _, name := range []string{"drafts.json", "alerts.json"} {
		text, err := os.ReadFile(filepath.Join("..", "..", "examples", name))
		if err != nil {
			return err
		}
		if err := os.WriteFile(filepath.Join(dir, name), text, 0o644); err != nil {
			return err
		}
	}
	return nil
}

func clusterOf(ts *testscript.TestScript) *ctltest.Cluster {
	return ts.Value(clusterKey{}).(*ctltest.Cluster)
}

func exit(ts *testscript.TestScript, _ bool, args []string) {
	err := ts.Exec(args[1], args[2:]...)
	code := "0"
	if err != nil {
		code = strings.TrimPrefix(err.Error(), "exit status ")
	}
	if code != args[0] {
		ts.Fatalf("exit code %s, want %s", code, args[0])
	}
}

func commit(ts *testscript.TestScript, _ bool, args []string) {
	version, err := strconv.ParseUint(args[0], 10, 64)
	ts.Check(err)
	d, faults := service.Decode([]byte(ts.ReadFile(args[2])))
	if len(faults) > 0 {
		ts.Fatalf("%v", faults)
	}
	clusterOf(ts).Commit(service.Versioned{Version: state.DocumentVersion(version), EditID: args[1], Document: d})
}

func changeDaemon(ts *testscript.TestScript, _ bool, args []string) {
	id := state.DaemonID(args[0])
	switch args[1] {
	case "lag":
		clusterOf(ts).Change(id, func(d *ctltest.Daemon) { d.Lagging = true })
	case "catch-up":
		clusterOf(ts).Change(id, func(d *ctltest.Daemon) { d.Lagging = false })
	case "lose":
		clusterOf(ts).Change(id, func(d *ctltest.Daemon) { d.LoseAnswers = 1 << 30 })
	case "stop":
		clusterOf(ts).Stop(id)
	default:
		ts.Fatalf("unknown change %s", args[1])
	}
}

func draining(ts *testscript.TestScript, neg bool, args []string) {
	if clusterOf(ts).Draining(state.DaemonID(args[0])) == neg {
		ts.Fatalf("draining is %v", neg)
	}
}

// polled waits until a command that polls the documents has printed what it read
// before. It prints each list before it requests the next one, so two more requests
// suffice.
func polled(ts *testscript.TestScript, _ bool, args []string) {
	id := state.DaemonID(args[0])
	before := clusterOf(ts).ListCalls(id)
	for range 1000 {
		if clusterOf(ts).ListCalls(id) >= before+2 {
			return
		}
		time.Sleep(10 * time.Millisecond)
	}
	ts.Fatalf("daemon %s was not polled", id)
}
