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

// serverFlags returns more and the flags of every command that calls daemons.
func serverFlags(more ...cli.Flag) []cli.Flag {
	return append([]cli.Flag{
		&cli.StringSliceFlag{
			Name:     flagServer,
			Aliases:  []string{"s"},
			Usage:    "base `URL` of a daemon, such as http://10.0.0.7:7080; several are tried in turn",
			Sources:  cli.EnvVars("HIBISCUS_SERVER"),
			Required: true,
		},
		&cli.DurationFlag{Name: flagCallTimeout, Usage: "timeout of one call", Value: 3 * time.Second},
	}, more...)
}

func timeoutFlag(value time.Duration) cli.Flag {
	return &cli.DurationFlag{Name: flagTimeout, Usage: "timeout of the whole command", Value: value}
}

func newClient(cmd *cli.Command) (*ctl.Client, error) {
	c, err := ctl.NewClient(cmd.StringSlice(flagServer), cmd.Duration(flagCallTimeout))
	if err != nil {
		return nil, exitErrorf(exitBadInput, "%v", err)
	}
	return c, nil
}

// rejectExtraArgs returns an error for arguments that the command does not take.
func rejectExtraArgs(cmd *cli.Command) error {
	if rest := cmd.Args().Slice(); len(rest) > 0 {
		return exitErrorf(exitBadInput, "unexpected argument %q", rest[0])
	}
	return nil
}

// readDocument reads and checks the document in the file argument of the command. It
// prints each fault on a line of its own that begins with the path.
func readDocument(cmd *cli.Command) (service.Document, error) {
	var none service.Document
	path := cmd.StringArg(argFile)
	if path == "" {
		return none, exitErrorf(exitBadInput, "%s is missing", argFile)
	}
	if err := rejectExtraArgs(cmd); err != nil {
		return none, err
	}
	f, err := os.Open(path)
	if err != nil {
		return none, exitErrorf(exitBadInput, "%v", err)
	}
	defer func() { _ = f.Close() }()
	text, err := io.ReadAll(io.LimitReader(f, service.MaxBytes+1))
	if err != nil {
		return none, exitErrorf(exitBadInput, "%v", err)
	}
	d, faults := service.Decode(text)
	if len(faults) > 0 {
		return none, reportFaults(cmd, service.Texts(faults))
	}
	return d, nil
}

// reportFaults prints the faults of a document and returns the error to exit with.
func reportFaults(cmd *cli.Command, faults []string) error {
	for _, f := range faults {
		printf(cmd.ErrWriter, "%s\n", f)
	}
	return exitErrorf(exitBadInput, "the document has %d faults", len(faults))
}
