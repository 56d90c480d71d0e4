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
		Usage:     "replay a recorded trace and report the first decision that differs",
		ArgsUsage: "TRACE",
		Arguments: []cli.Argument{&cli.StringArg{Name: argTrace}},
		Action:    replay,
	}
}

func replay(_ context.Context, cmd *cli.Command) error {
	path := cmd.StringArg(argTrace)
	if path == "" {
		return exitErrorf(exitBadInput, "no trace file given")
	}
	if err := rejectExtraArgs(cmd); err != nil {
		return err
	}
	file, err := os.Open(path)
	if err != nil {
		return exitErrorf(exitBadInput, "%v", err)
	}
	defer func() { _ = file.Close() }()
	res, err := trace.Replay(file)
	var inputErr *trace.InputError
	switch {
	case errors.As(err, &inputErr):
		return exitErrorf(exitBadInput, "%s: %v", path, inputErr)
	case err != nil:
		return exitErrorf(exitFailed, "%s: %v", path, err)
	case res.Difference != nil:
		printf(cmd.Writer, "%s\n", res.Difference)
		return exitErrorf(exitFailed, "%s: replay differs", path)
	}
	printf(cmd.Writer, "same decisions: %d requests, %d events, %d unfinished; %d stated outcomes hold\n",
		res.Runs, res.Events, res.Unfinished, res.Expectations)
	return nil
}
