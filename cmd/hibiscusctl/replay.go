package main

import (
	"context"
	"errors"
	"os"

	"github.com/urfave/cli/v3"

	"github.com/hibiscuswick/hibiscuswick/trace"
)

const argTrace = "trace"

func replayCommand() *cli.Command {
	return &cli.Command{
		Name:      "replay",
		Usage:     "run a recorded trace through the core and report the first difference",
		ArgsUsage: "TRACE",
		Arguments: []cli.Argument{&cli.StringArg{Name: argTrace}},
		Action:    replay,
	}
}

func replay(_ context.Context, cmd *cli.Command) error {
	path := cmd.StringArg(argTrace)
	if path == "" {
		return fail(exitBadInput, "which trace?")
	}
	if err := noMore(cmd); err != nil {
		return err
	}
	file, err := os.Open(path)
	if err != nil {
		return fail(exitBadInput, "%v", err)
	}
	defer func() { _ = file.Close() }()
	res, err := trace.Replay(file)
	var broken *trace.InputError
	switch {
	case errors.As(err, &broken):
		return fail(exitBadInput, "%s: %v", path, broken)
	case err != nil:
		return fail(exitFailed, "%s: %v", path, err)
	case res.Difference != nil:
		printf(cmd.Writer, "%s\n", res.Difference)
		return fail(exitFailed, "%s: replay differs", path)
	}
	printf(cmd.Writer, "same decisions: %d requests, %d events, %d unfinished; %d stated outcomes hold\n",
		res.Runs, res.Events, res.Unfinished, res.Expects)
	return nil
}
