package main

import (
	"context"
	"encoding/json"
	"time"

	"github.com/urfave/cli/v3"

	"github.com/hibiscuswick/hibiscuswick/measure"
)

const (
	flagSeconds = "seconds"
	flagDaemons = "daemons"
	flagSeed    = "seed"
	flagOffered = "offered"
)

func measureCommand() *cli.Command {
	return &cli.Command{
		Name:     "measure",
		Usage:    "measure whole daemons against stand-ins in this process, on loopback",
		Commands: []*cli.Command{measureThroughputCommand()},
	}
}

func measureThroughputCommand() *cli.Command {
	def := measure.DefaultThroughput()
	return &cli.Command{
		Name:  "throughput",
		Usage: "tokens and requests a second as a share of the engines' theoretical bound",
		Flags: []cli.Flag{
			&cli.BoolFlag{Name: flagJSON, Usage: "print the result as JSON"},
			&cli.IntFlag{Name: flagSeconds, Usage: "length of each load's window", Value: int(def.Window / time.Second)},
			&cli.IntFlag{Name: flagDaemons, Usage: "daemons to run", Value: def.Daemons},
			&cli.FloatSliceFlag{Name: flagOffered, Usage: "loads to offer, as shares of the bound", Value: def.Offered},
			&cli.Uint64Flag{Name: flagSeed, Usage: "seed of the arrivals", Value: def.Seed},
		},
		Action: measureThroughput,
	}
}

func measureThroughput(ctx context.Context, cmd *cli.Command) error {
	if err := noMore(cmd); err != nil {
		return err
	}
	cfg := measure.DefaultThroughput()
	cfg.Window = time.Duration(cmd.Int(flagSeconds)) * time.Second
	cfg.Daemons = cmd.Int(flagDaemons)
	cfg.Offered = cmd.FloatSlice(flagOffered)
	cfg.Seed = cmd.Uint64(flagSeed)
	if cfg.Window <= 0 || cfg.Daemons <= 0 {
		return fail(exitBadInput, "--%s and --%s must be above 0", flagSeconds, flagDaemons)
	}
	res, err := measure.RunThroughput(ctx, cfg, progress(cmd))
	if err != nil {
		return fail(exitFailed, "%v", err)
	}
	return printMeasure(cmd, res, res.Goals)
}

// progress prints each step, on standard error.
func progress(cmd *cli.Command) func(string) {
	return func(line string) { printf(cmd.ErrWriter, "%s\n", line) }
}

// printMeasure prints a result. A goal that is not met does not fail the command:
// it is a figure, and depends on the machine.
func printMeasure(cmd *cli.Command, res any, goals []measure.Goal) error {
	if cmd.Bool(flagJSON) {
		out := json.NewEncoder(cmd.Writer)
		out.SetIndent("", "  ")
		return out.Encode(res)
	}
	for _, g := range goals {
		printf(cmd.Writer, "%s\n", g)
	}
	return nil
}
