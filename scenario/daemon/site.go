package daemon

import (
	"context"
	"fmt"
	"os"
	"slices"
	"strconv"
	"time"

	"github.com/rogpeppe/go-internal/testscript"

	router "github.com/hibiscuswick/hibiscuswick/daemon"
	"github.com/hibiscuswick/hibiscuswick/internal/site"
	"github.com/hibiscuswick/hibiscuswick/internal/standin"
	"github.com/hibiscuswick/hibiscuswick/state"
	"github.com/hibiscuswick/hibiscuswick/state/service"
	"github.com/hibiscuswick/hibiscuswick/telemetry"
)

const (
	testTimeout  = 30 * time.Second // bound of every wait
	pollInterval = 10 * time.Millisecond
	stepTime     = 20 * time.Millisecond
)

// The service of a site.
const (
	drafts       state.ServiceID  = "drafts"
	customer     state.CustomerID = "bank"
	classDraft   state.ClassID    = "draft"
	classNote    state.ClassID    = "note" // must not be repeated
	answerTokens                  = 30
	defaultSize                   = 3 // daemons
)

var chains = site.Chains{Prefix: "drafter", Replicas: 2, Stages: 2, Layers: 8}

// Site is the site that one script runs against.
type Site struct {
	*site.Site
	ctx   context.Context
	calls map[string]*call
}

type siteKey struct{}

// Setup creates the site of a script. The command "site" starts it.
func Setup(env *testscript.Env) error {
	s, err := site.New(telemetry.Discard())
	if err != nil {
		return err
	}
	ctx, cancel := context.WithCancel(context.Background())
	env.Values[siteKey{}] = &Site{Site: s, ctx: ctx, calls: make(map[string]*call)}
	env.Defer(func() {
		cancel()
		s.Close()
	})
	return nil
}

// Command is one script command.
type Command = func(ts *testscript.TestScript, neg bool, args []string)

// Commands returns the commands that extend those of testscript.
func Commands() map[string]Command {
	named := map[string]func(s *Site, ts *testscript.TestScript, args []string){
		"site":     startSite,
		"document": writeDocument,
		"serving":  awaitServing,
		"busy":     findBusy,
		"crash":    crash,
		"restart":  restart,
		"store":    setStore,
		"gone":     awaitStopped,
		"submit":   submit,
		"await":    await,
		"whole":    checkComplete,
		"unbroken": checkSingleConnection,
		"ran":      checkRunCount,
		"intact":   checkLayerOrder,
	}
	out := make(map[string]Command, len(named))
	for name, run := range named {
		out[name] = func(ts *testscript.TestScript, neg bool, args []string) {
			if neg {
				ts.Fatalf("%s does not support negation", name)
			}
			run(ts.Value(siteKey{}).(*Site), ts, args)
		}
	}
	return out
}

// arg returns the i-th argument.
func arg(ts *testscript.TestScript, args []string, i int) string {
	if i >= len(args) {
		ts.Fatalf("missing argument %d", i+1)
	}
	return args[i]
}

func parseCount(ts *testscript.TestScript, text string) int {
	n, err := strconv.Atoi(text)
	ts.Check(err)
	return n
}

// startSite starts engines and daemons, and sets $D1, $D2, ... to the daemons' base
// URLs.
func startSite(s *Site, ts *testscript.TestScript, args []string) {
	size := defaultSize
	if len(args) > 0 {
		size = parseCount(ts, args[0])
	}
	ts.Check(s.AddChains(chains, standin.EngineConfig{
		Service: drafts, Model: "notes", Version: "1", Kind: "large", StepTime: stepTime,
	}))
	for i := range size {
		d, err := s.AddDaemon(nil)
		ts.Check(err)
		ts.Setenv(fmt.Sprintf("D%d", i+1), "http://"+d.CallerAddress())
	}
}

// writeDocument writes the service document to a file, with a given number of slots
// per replica.
func writeDocument(_ *Site, ts *testscript.TestScript, args []string) {
	doc := service.Document{
		Service:   drafts,
		Kind:      service.KindModel,
		Model:     &service.Model{Name: "notes", Version: "1", Layers: chains.Layers},
		Capacity:  service.Capacity{Replicas: chains.Replicas, SlotsPerReplica: parseCount(ts, arg(ts, args, 1)), QueuePerClass: 64},
		Placement: chains.Placement(),
		Classes: []service.Class{
			{Name: classNote, Priority: 0, Deadline: service.Duration(testTimeout), NeverRepeat: true, MaxTokens: answerTokens},
			{Name: classDraft, Priority: 1, Deadline: service.Duration(testTimeout), MaxTokens: answerTokens},
		},
		Customers: []service.Customer{{ID: customer, RequestsPerSecond: 1000, Burst: 1000, Weight: 1}},
		Retry:     service.Retry{MaxAttempts: 5, BudgetRatio: 1},
	}
	ts.Check(os.WriteFile(ts.MkAbs(arg(ts, args, 0)), doc.Encode(), 0o644))
}

// eventually polls until ok returns true, and fails the script after testTimeout.
func (s *Site) eventually(ts *testscript.TestScript, what string, ok func() bool) {
	for end := time.Now().Add(testTimeout); !ok(); time.Sleep(pollInterval) {
		if time.Now().After(end) {
			ts.Fatalf("timed out waiting until %s", what)
		}
	}
}

// awaitServing waits until all live daemons have the document and see each other
// alive.
func awaitServing(s *Site, ts *testscript.TestScript, _ []string) {
	live := s.Live()
	s.eventually(ts, "all daemons serve", func() bool {
		return !slices.ContainsFunc(live, func(d *router.Daemon) bool {
			st := d.DaemonStatus(s.ctx)
			alive := 0
			for _, m := range st.Members {
				if m.State == "alive" {
					alive++
				}
			}
			return st.Isolated || len(st.Documents) == 0 || alive < len(live)
		})
	})
}

// findBusy waits until a daemon has an active request and sets a variable to its URL.
// For "stage" it waits until a stage runs a step, and sets the variable to its name.
func findBusy(s *Site, ts *testscript.TestScript, args []string) {
	found := ""
	s.eventually(ts, "something is busy", func() bool {
		if arg(ts, args, 0) == "stage" {
			found = s.busyStage()
		} else {
			found = s.busyDaemon()
		}
		return found != ""
	})
	ts.Setenv(arg(ts, args, 1), found)
}

func (s *Site) busyDaemon() string {
	for _, d := range s.Live() {
		if d.DaemonStatus(s.ctx).Active > 0 {
			return "http://" + d.CallerAddress()
		}
	}
	return ""
}

func (s *Site) busyStage() string {
	for id, e := range s.Engines {
		if e.Running() > 0 {
			return string(id)
		}
	}
	return ""
}

func (s *Site) daemon(ts *testscript.TestScript, url string) *router.Daemon {
	for _, d := range s.Daemons {
		if "http://"+d.CallerAddress() == url {
			return d
		}
	}
	ts.Fatalf("no daemon with URL %s", url)
	return nil
}

func (s *Site) stage(ts *testscript.TestScript, name string) *standin.Engine {
	e, ok := s.Engines[state.BackendID(name)]
	if !ok {
		ts.Fatalf("no stage named %s", name)
	}
	return e
}

func crash(s *Site, ts *testscript.TestScript, args []string) {
	name := arg(ts, args, 1)
	switch arg(ts, args, 0) {
	case "daemon":
		s.daemon(ts, name).Kill()
	case "stage":
		s.stage(ts, name).Kill()
	default:
		ts.Fatalf("usage: crash daemon URL | crash stage NAME")
	}
}

func restart(s *Site, ts *testscript.TestScript, args []string) {
	ts.Check(s.stage(ts, arg(ts, args, 0)).Restart())
}

func setStore(s *Site, ts *testscript.TestScript, args []string) {
	s.Platform.Down(arg(ts, args, 0) == "down")
}

// awaitStopped waits until a daemon has stopped.
func awaitStopped(s *Site, ts *testscript.TestScript, args []string) {
	d := s.daemon(ts, arg(ts, args, 0))
	select {
	case <-d.Done():
	case <-time.After(testTimeout):
		ts.Fatalf("timed out waiting for the daemon to stop")
	}
}

// checkLayerOrder checks that the stand-ins ran each layer once and in order for each
// token.
func checkLayerOrder(s *Site, ts *testscript.TestScript, _ []string) {
	if v := s.Ledger.Violations(); len(v) > 0 {
		ts.Fatalf("%v", v)
	}
}
