package main

import (
	"context"
	"time"

	"github.com/urfave/cli/v3"
)

func drainCommand() *cli.Command {
	return &cli.Command{
		Name:  "drain",
		Usage: "start the planned stop of one daemon, which ends every stream first",
		Flags: serverFlags(
			&cli.BoolFlag{Name: flagWait, Usage: "wait until the daemon has stopped"},
			timeoutFlag(15*time.Minute),
		),
		Action: drain,
	}
}

func drain(ctx context.Context, cmd *cli.Command) error {
	if err := noMore(cmd); err != nil {
		return err
	}
	c, err := client(cmd)
	if err != nil {
		return err
	}
	if servers := cmd.StringSlice(flagServer); len(servers) != 1 {
		return fail(exitBadInput, "give one --%s, the daemon to stop; %d are given", flagServer, len(servers))
	}
	ctx, cancel := context.WithTimeout(ctx, cmd.Duration(flagTimeout))
	defer cancel()
	if err := c.Drain(ctx); err != nil {
		return fail(exitFailed, "%v", err)
	}
	printf(cmd.Writer, "the planned stop has begun\n")
	if !cmd.Bool(flagWait) {
		return nil
	}
	err = c.WaitStopped(ctx, func(active int) {
		printf(cmd.Writer, "%d active requests\n", active)
	})
	if err != nil {
		return fail(exitFailed, "the daemon has not stopped: %v", err)
	}
	printf(cmd.Writer, "the daemon has stopped\n")
	return nil
}
