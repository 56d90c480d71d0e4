package main

import (
	"context"
	"time"

	"github.com/urfave/cli/v3"
)

func drainCommand() *cli.Command {
	return &cli.Command{
		Name:  "drain",
		Usage: "drain one daemon: it finishes its streams, then stops",
		Flags: serverFlags(
			&cli.BoolFlag{Name: flagWait, Usage: "wait until the daemon has stopped"},
			timeoutFlag(15*time.Minute),
		),
		Action: drain,
	}
}

func drain(ctx context.Context, cmd *cli.Command) error {
	if err := rejectExtraArgs(cmd); err != nil {
		return err
	}
	c, err := newClient(cmd)
	if err != nil {
		return err
	}
	if servers := cmd.StringSlice(flagServer); len(servers) != 1 {
		return exitErrorf(exitBadInput, "drain takes exactly one --%s, got %d", flagServer, len(servers))
	}
	ctx, cancel := context.WithTimeout(ctx, cmd.Duration(flagTimeout))
	defer cancel()
	if err := c.Drain(ctx); err != nil {
		return exitErrorf(exitFailed, "%v", err)
	}
	printf(cmd.Writer, "the planned stop has begun\n")
	if !cmd.Bool(flagWait) {
		return nil
	}
	err = c.WaitStopped(ctx, func(active int) {
		printf(cmd.Writer, "%d active requests\n", active)
	})
	if err != nil {
		return exitErrorf(exitFailed, "the daemon has not stopped: %v", err)
	}
	printf(cmd.Writer, "the daemon has stopped\n")
	return nil
}
