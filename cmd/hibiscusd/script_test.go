package main

import (
	"context"
	"encoding/json"
	"fmt"
	"os"
	"path/filepath"
	"strconv"
	"testing"
	"time"

	"github.com/rogpeppe/go-internal/testscript"

	"github.com/hibiscuswick/hibiscuswick/client"
	"github.com/hibiscuswick/hibiscuswick/ctl"
	"github.com/hibiscuswick/hibiscuswick/internal/freeport"
	"github.com/hibiscuswick/hibiscuswick/internal/site"
	"github.com/hibiscuswick/hibiscuswick/internal/standin"
	"github.com/hibiscuswick/hibiscuswick/protocol/caller"
	"github.com/hibiscuswick/hibiscuswick/state/service"
	"github.com/hibiscuswick/hibiscuswick/telemetry"
	"github.com/hibiscuswick/hibiscuswick/trace"
)

func TestMain(m *testing.M) {
	testscript.Main(m, map[string]func(){"hibiscusd": main})
}

const testTimeout = 30 * time.Second

var chains = site.Chains{Prefix: "drafter", Replicas: 1, Stages: 2, Layers: 4}

// harness is the site around the daemon of one script.
type harness struct {
	*site.Site
	url string // of the daemon
}

type harnessKey struct{}

// TestScripts runs the scripts below testdata/script against engines and a platform
// in this process. Commands in addition to testscript's:
//
//	serve            wait for the daemon and apply a service document
//	requests N       send N requests, one after the other
//	drain            drain the daemon
//	replay FILE N    replay a trace that holds N requests
func TestScripts(t *testing.T) {
	testscript.Run(t, testscript.Params{
		Dir:   filepath.Join("testdata", "script"),
		Setup: setup,
		Cmds: map[string]func(*testscript.TestScript, bool, []string){
			"serve": serve, "requests": requests, "drain": drain, "replay": replay,
		},
	})
}

func setup(env *testscript.Env) error {
	s, err := site.New(telemetry.Discard())
	if err != nil {
		return err
	}
	env.Defer(s.Close)
	cfg := standin.EngineConfig{Service: "drafts", Model: "notes", Version: "1", Kind: "large", StepTime: time.Millisecond}
	if err := s.AddChains(chains, cfg); err != nil {
		return err
	}
	callerAddress, err := freeport.Address()
	if err != nil {
		return err
	}
	env.Values[harnessKey{}] = &harness{Site: s, url: "http://" + callerAddress}
	return os.WriteFile(filepath.Join(env.WorkDir, "settings.json"), settingsText(s, callerAddress), 0o644)
}

func settingsText(s *site.Site, callerAddress string) []byte {
	text, _ := json.Marshal(map[string]any{
		"id": "entry-1", "instance": "entry-1", "failure_domain": site.Domains[0], "region": site.Region,
		"peer_address": "127.0.0.1:0", "caller_address": callerAddress, "address_answer_valid": "500ms",
		"platform": map[string]any{
			"table_url": s.Platform.URL(), "objects_url": s.Platform.URL(), "instances_url": s.Platform.URL(),
		},
	})
	return text
}

func serve(ts *testscript.TestScript, _ bool, _ []string) {
	r := ts.Value(harnessKey{}).(*harness)
	doc := service.Document{
		Service:   "drafts",
		Kind:      service.KindModel,
		Model:     &service.Model{Name: "notes", Version: "1", Layers: chains.Layers},
		Capacity:  service.Capacity{Replicas: 1, SlotsPerReplica: 4, QueuePerClass: 64},
		Placement: chains.Placement(),
		Classes:   []service.Class{{Name: "note", Deadline: service.Duration(testTimeout), NeverRepeat: true, MaxTokens: 5}},
		Customers: []service.Customer{{ID: "bank", RequestsPerSecond: 1000, Burst: 1000, Weight: 1}},
		Retry:     service.Retry{MaxAttempts: 3, BudgetRatio: 1},
	}
	ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
	defer cancel()
	res := r.operator(ts).Apply(ctx, doc.Service, caller.Edit{EditID: "first", Text: doc.Encode()})
	if res.Status != caller.EditAccepted {
		ts.Fatalf("%+v", res)
	}
}

func (r *harness) operator(ts *testscript.TestScript) *ctl.Client {
	c, err := ctl.NewClient([]string{r.url}, 3*time.Second)
	ts.Check(err)
	return c
}

func requests(ts *testscript.TestScript, _ bool, args []string) {
	r := ts.Value(harnessKey{}).(*harness)
	count, err := strconv.Atoi(args[0])
	ts.Check(err)
	ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
	defer cancel()
	// A daemon that has just started refuses requests as not run until it holds its
	// share of the customer's limit.
	const refusals = 30
	c := client.New(client.Config{Seeds: []string{r.url}, Service: "drafts", Customer: "bank", MaxRefusals: refusals})
	for i := range count {
		res, err := c.Do(ctx, client.Request{Class: "note", Prompt: fmt.Sprint("letter ", i)}, func(caller.TokenEvent) {})
		if err != nil || res.End.Outcome != caller.EndCompleted {
			ts.Fatalf("request %d: %+v %v", i, res, err)
		}
	}
}

func drain(ts *testscript.TestScript, _ bool, _ []string) {
	ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
	defer cancel()
	ts.Check(ts.Value(harnessKey{}).(*harness).operator(ts).Drain(ctx))
}

func replay(ts *testscript.TestScript, _ bool, args []string) {
	count, err := strconv.Atoi(args[1])
	ts.Check(err)
	f, err := os.Open(ts.MkAbs(args[0]))
	ts.Check(err)
	defer f.Close()
	res, err := trace.Replay(f)
	ts.Check(err)
	if res.Difference != nil || res.Runs != count || res.Unfinished != 0 {
		ts.Fatalf("%+v, want %d requests", res, count)
	}
}
