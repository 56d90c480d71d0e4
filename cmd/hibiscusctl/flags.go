package main

import (
	"io"
	"os"
	"time"

	"github.com/urfave/cli/v3"

	"github.com/hibiscuswick/hibiscuswick/ctl"
	"github.com/hibiscuswick/hibiscuswick/state/service"
)

const (
	flagServer      = "server"
	flagCallTimeout = "call-timeout"
	flagTimeout     = "timeout"
	flagWait        = "wait"
	flagJSON        = "json"

	argFile    = "FILE"
	argService = "SERVICE"
)

// serverFlags are those of every command that talks to daemons.
func serverFlags(more ...cli.Flag) []cli.Flag {
	return append([]cli.Flag{
		&cli.StringSliceFlag{
			Name:     flagServer,
			Aliases:  []string{"s"},
			Usage:    "base `URL` of a daemon, such as http://10.0.0.7:7080; several are tried in turn",
			Sources:  cli.EnvVars("HIBISCUS_SERVER"),
			Required: true,
		},
		&cli.DurationFlag{Name: flagCallTimeout, Usage: "bound of one call", Value: 3 * time.Second},
	}, more...)
}

func timeoutFlag(value time.Duration) cli.Flag {
	return &cli.DurationFlag{Name: flagTimeout, Usage: "bound of the whole command", Value: value}
}

func client(cmd *cli.Command) (*ctl.Client, error) {
	c, err := ctl.NewClient(cmd.StringSlice(flagServer), cmd.Duration(flagCallTimeout))
	if err != nil {
		return nil, fail(exitBadInput, "%v", err)
	}
	return c, nil
}

// noMore refuses arguments that the command does not take.
func noMore(cmd *cli.Command) error {
	if rest := cmd.Args().Slice(); len(rest) > 0 {
		return fail(exitBadInput, "unexpected argument %q", rest[0])
	}
	return nil
}

// readDocument reads and checks the document in the file that the command
// names, and prints each fault on its own line, its path first.
func readDocument(cmd *cli.Command) (service.Document, error) {
	var none service.Document
	path := cmd.StringArg(argFile)
	if path == "" {
		return none, fail(exitBadInput, "%s is missing", argFile)
	}
	if err := noMore(cmd); err != nil {
		return none, err
	}
	f, err := os.Open(path)
	if err != nil {
		return none, fail(exitBadInput, "%v", err)
	}
	defer func() { _ = f.Close() }()
	text, err := io.ReadAll(io.LimitReader(f, service.MaxBytes+1))
	if err != nil {
		return none, fail(exitBadInput, "%v", err)
	}
	d, faults := service.Decode(text)
	if len(faults) > 0 {
		return none, refused(cmd, service.Texts(faults))
	}
	return d, nil
}

// refused prints the faults of a document.
func refused(cmd *cli.Command, faults []string) error {
	for _, f := range faults {
		printf(cmd.ErrWriter, "%s\n", f)
	}
	return fail(exitBadInput, "the document has %d faults", len(faults))
}
