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

const patience = 30 * time.Second

var chains = site.Chains{Prefix: "drafter", Replicas: 1, Stages: 2, Layers: 4}

// rig is the site around the daemon of one script.
type rig struct {
	*site.Site
	url string // of the daemon
}

type rigKey struct{}

// TestScripts runs the scripts below testdata/script against engines and a platform
// in this process. Commands besides testscript's:
//
//	serve            wait for the daemon and put a document in force
//	requests N       send N requests, one after the other
//	drain            begin a planned stop
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
	callers, err := freeport.Address()
	if err != nil {
		return err
	}
	env.Values[rigKey{}] = &rig{Site: s, url: "http://" + callers}
	return os.WriteFile(filepath.Join(env.WorkDir, "settings.json"), settingsText(s, callers), 0o644)
}

func settingsText(s *site.Site, callers string) []byte {
	text, _ := json.Marshal(map[string]any{
		"id": "entry-1", "instance": "entry-1", "failure_domain": site.Domains[0], "region": site.Region,
		"peer_address": "127.0.0.1:0", "caller_address": callers, "address_answer_valid": "500ms",
		"platform": map[string]any{
			"table_url": s.Platform.URL(), "objects_url": s.Platform.URL(), "instances_url": s.Platform.URL(),
		},
	})
	return text
}

func serve(ts *testscript.TestScript, _ bool, _ []string) {
	r := ts.Value(rigKey{}).(*rig)
	doc := service.Document{
		Service:   "drafts",
		Kind:      service.KindModel,
		Model:     &service.Model{Name: "notes", Version: "1", Layers: chains.Layers},
		Capacity:  service.Capacity{Replicas: 1, SlotsPerReplica: 4, QueuePerClass: 64},
		Placement: chains.Placement(),
		Classes:   []service.Class{{Name: "note", Deadline: service.Duration(patience), NeverRepeat: true, MaxTokens: 5}},
		Customers: []service.Customer{{ID: "bank", RequestsPerSecond: 1000, Burst: 1000, Weight: 1}},
		Retry:     service.Retry{MaxAttempts: 3, BudgetRatio: 1},
	}
	ctx, cancel := context.WithTimeout(context.Background(), patience)
	defer cancel()
	res := r.operator(ts).Apply(ctx, doc.Service, caller.Edit{EditID: "first", Text: doc.Encode()})
	if res.Status != caller.EditAccepted {
		ts.Fatalf("%+v", res)
	}
}

func (r *rig) operator(ts *testscript.TestScript) *ctl.Client {
	c, err := ctl.NewClient([]string{r.url}, 3*time.Second)
	ts.Check(err)
	return c
}

func requests(ts *testscript.TestScript, _ bool, args []string) {
	r := ts.Value(rigKey{}).(*rig)
	count, err := strconv.Atoi(args[0])
	ts.Check(err)
	ctx, cancel := context.WithTimeout(context.Background(), patience)
	defer cancel()
	// A daemon that has just started refuses, as not run, until it holds its part of
	// the customer's limit.
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
	ctx, cancel := context.WithTimeout(context.Background(), patience)
	defer cancel()
	ts.Check(ts.Value(rigKey{}).(*rig).operator(ts).Drain(ctx))
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
