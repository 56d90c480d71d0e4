package main

import (
	"context"
	"io"
	"os"

	"github.com/urfave/cli/v3"

	"github.com/hibiscuswick/hibiscuswick/explain"
)

const argLogs = "logs"

func explainCommand() *cli.Command {
	return &cli.Command{
		Name:      "explain",
		Usage:     "show one request's timeline and cause from the logs of several daemons",
		ArgsUsage: "LOG... (- for standard input)",
		Arguments: []cli.Argument{&cli.StringArgs{Name: argLogs, Min: 0, Max: -1}},
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "request", Usage: "`ID` of the caller's attempt", Required: true},
			&cli.BoolFlag{Name: "json", Usage: "print the timeline as JSON"},
		},
		Action: explainRequest,
	}
}

func explainRequest(_ context.Context, cmd *cli.Command) error {
	paths := cmd.StringArgs(argLogs)
	if len(paths) == 0 {
		return exitErrorf(exitBadInput, "no log files given; use - for standard input")
	}
	var log explain.Log
	for _, path := range paths {
		if err := readLog(&log, path); err != nil {
			return exitErrorf(exitBadInput, "%s: %v", path, err)
		}
	}
	timeline, err := log.Find(cmd.String("request"))
	if err != nil {
		return exitErrorf(exitFailed, "%v; skipped %d lines that no daemon wrote", err, log.Skipped)
	}
	if cmd.Bool("json") {
		return printJSON(cmd.Writer, timeline)
	}
	return timeline.WriteText(cmd.Writer)
}

func readLog(log *explain.Log, path string) error {
	var in io.Reader = os.Stdin
	if path != "-" {
		file, err := os.Open(path)
		if err != nil {
			return err
		}
		defer func() { _ = file.Close() }()
		in = file
	}
	return log.Read(in)
}
