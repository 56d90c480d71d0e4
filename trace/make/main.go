// Command make records the traces in trace/testdata, each from a run of daemons and
// stand-ins on loopback ports:
//
//	go run ./trace/make DIRECTORY [SCENARIO]
//
// It replays each trace, and fails if the replay differs or a stated outcome does not
// hold. The traces are recorded again when a decision is changed on purpose; they are
// never edited to match a change.
package main

import (
	"context"
	"fmt"
	"os"
	"path/filepath"
	"time"

	"github.com/hibiscuswick/hibiscuswick/trace"
)

const scenarioTimeout = time.Minute

func main() {
	if len(os.Args) < 2 {
		fmt.Fprintln(os.Stderr, "usage: make DIRECTORY [SCENARIO]")
		os.Exit(2)
	}
	for _, s := range scenarios {
		if len(os.Args) > 2 && os.Args[2] != s.name {
			continue
		}
		res, err := record(s, filepath.Join(os.Args[1], s.name+".jsonl"))
		if err != nil {
			fmt.Fprintf(os.Stderr, "%s: %v\n", s.name, err)
			os.Exit(1)
		}
		fmt.Printf("%s: %d requests, %d events, %d stated outcomes\n", s.name, res.Runs, res.Events, res.Expectations)
	}
}

// record records a scenario to the file at path and replays it.
func record(s scenario, path string) (trace.Result, error) {
	if err := os.Remove(path); err != nil && !os.IsNotExist(err) {
		return trace.Result{}, err
	}
	ctx, cancel := context.WithTimeout(context.Background(), scenarioTimeout)
	defer cancel()
	if err := runScenario(ctx, s, path); err != nil {
		return trace.Result{}, err
	}
	return check(path)
}

// check replays the file at path.
func check(path string) (trace.Result, error) {
	f, err := os.Open(path)
	if err != nil {
		return trace.Result{}, err
	}
	defer func() { _ = f.Close() }()
	res, err := trace.Replay(f)
	if err == nil && res.Difference != nil {
		err = fmt.Errorf("replay differs from the recording: %v", res.Difference)
	}
	return res, err
}
