package main

import (
	"context"
	"os"
	"slices"
	"time"

	"github.com/samber/lo"
	"github.com/urfave/cli/v3"

	"github.com/hibiscuswick/hibiscuswick/measure"
	"github.com/hibiscuswick/hibiscuswick/telemetry"
)

const (
	flagSeconds = "seconds"
	flagDaemons = "daemons"
	flagSeed    = "seed"
	flagOffered = "offered"
	flagRounds  = "rounds"
	flagFault   = "fault"
	flagQuick   = "quick"
	flagLog     = "log"
)

func measureCommand() *cli.Command {
	return &cli.Command{
		Name:     "measure",
		Usage:    "measure complete daemons against stand-ins in this process, on loopback",
		Commands: []*cli.Command{measureThroughputCommand(), measureRecoveryCommand()},
	}
}

func measureThroughputCommand() *cli.Command {
	def := measure.DefaultThroughput()
	return &cli.Command{
		Name:  "throughput",
		Usage: "measure tokens and requests per second as a share of the engines' theoretical maximum",
		Flags: []cli.Flag{
			&cli.BoolFlag{Name: flagJSON, Usage: "print the result as JSON"},
			&cli.StringFlag{Name: flagLog, Usage: "write the log of all daemons to this file"},
			&cli.IntFlag{Name: flagSeconds, Usage: "length of each load's measurement window, in seconds", Value: int(def.Window / time.Second)},
			&cli.IntFlag{Name: flagDaemons, Usage: "daemons to run", Value: def.Daemons},
			&cli.FloatSliceFlag{Name: flagOffered, Usage: "loads to offer, as shares of the maximum", Value: def.OfferedLoads},
			&cli.Uint64Flag{Name: flagSeed, Usage: "random seed of the arrivals", Value: def.Seed},
		},
		Action: measureThroughput,
	}
}

func measureThroughput(ctx context.Context, cmd *cli.Command) error {
	if err := rejectExtraArgs(cmd); err != nil {
		return err
	}
	cfg := measure.DefaultThroughput()
	cfg.Window = time.Duration(cmd.Int(flagSeconds)) * time.Second
	cfg.Daemons = cmd.Int(flagDaemons)
	cfg.OfferedLoads = cmd.FloatSlice(flagOffered)
	cfg.Seed = cmd.Uint64(flagSeed)
	if cfg.Window <= 0 || cfg.Daemons <= 0 {
		return exitErrorf(exitBadInput, "--%s and --%s must be above 0", flagSeconds, flagDaemons)
	}
	log, closeLog, err := openLog(cmd)
	if err != nil {
		return err
	}
	defer closeLog()
	cfg.Log = log
	res, err := measure.RunThroughput(ctx, cfg, progress(cmd))
	if err != nil {
		return exitErrorf(exitFailed, "%v", err)
	}
	return printMeasure(cmd, res, res.Goals)
}

func measureRecoveryCommand() *cli.Command {
	def := measure.DefaultRecovery()
	return &cli.Command{
		Name:  "recovery",
		Usage: "measure the time from a failure to a caller's next token or accepted request",
		Flags: []cli.Flag{
			&cli.BoolFlag{Name: flagJSON, Usage: "print the result as JSON"},
			&cli.StringFlag{Name: flagLog, Usage: "write the log of all daemons to this file"},
			&cli.IntFlag{Name: flagRounds, Usage: "rounds per failure", Value: def.Rounds},
			&cli.StringSliceFlag{Name: flagFault, Usage: "failures to inject", Value: lo.Map(def.Faults, func(f measure.Fault, _ int) string { return string(f) })},
			&cli.BoolFlag{Name: flagQuick, Usage: "use the tests' short timeouts instead of the defaults"},
		},
		Action: measureRecovery,
	}
}

func measureRecovery(ctx context.Context, cmd *cli.Command) error {
	if err := rejectExtraArgs(cmd); err != nil {
		return err
	}
	cfg := measure.DefaultRecovery()
	cfg.Rounds = cmd.Int(flagRounds)
	cfg.ShortTimeouts = cmd.Bool(flagQuick)
	cfg.Faults = nil
	for _, name := range cmd.StringSlice(flagFault) {
		if !slices.Contains(measure.Faults(), measure.Fault(name)) {
			return exitErrorf(exitBadInput, "unknown failure %q; known failures are %v", name, measure.Faults())
		}
		cfg.Faults = append(cfg.Faults, measure.Fault(name))
	}
	if cfg.Rounds <= 0 {
		return exitErrorf(exitBadInput, "--%s must be above 0", flagRounds)
	}
	log, closeLog, err := openLog(cmd)
	if err != nil {
		return err
	}
	defer closeLog()
	cfg.Log = log
	res, err := measure.RunRecovery(ctx, cfg, progress(cmd))
	if err != nil {
		return exitErrorf(exitFailed, "%v", err)
	}
	return printMeasure(cmd, res, res.Goals)
}

// openLog returns a log that writes to the file of the flag, or nil without one, and a
// function that closes the file.
func openLog(cmd *cli.Command) (*telemetry.Log, func(), error) {
	path := cmd.String(flagLog)
	if path == "" {
		return nil, func() {}, nil
	}
	f, err := os.Create(path)
	if err != nil {
		return nil, nil, exitErrorf(exitBadInput, "--%s: %v", flagLog, err)
	}
	closeFile := func() {
		if err := f.Close(); err != nil {
			printf(cmd.ErrWriter, "--%s: %v\n", flagLog, err)
		}
	}
	return telemetry.NewLog(telemetry.LogConfig{Level: "debug", Output: f}), closeFile, nil
}

// progress returns a function that prints each step on standard error.
func progress(cmd *cli.Command) func(string) {
	return func(line string) { printf(cmd.ErrWriter, "%s\n", line) }
}

// printMeasure prints a result. A missed goal does not fail the command, since the
// measured values depend on the machine.
func printMeasure(cmd *cli.Command, res any, goals []measure.Goal) error {
	if cmd.Bool(flagJSON) {
		return printJSON(cmd.Writer, res)
	}
	for _, g := range goals {
		printf(cmd.Writer, "%s\n", g)
	}
	return nil
}
