package main

import (
	"context"
	"time"

	"github.com/samber/lo"
	"github.com/urfave/cli/v3"

	"github.com/hibiscuswick/hibiscuswick/state"
	"github.com/hibiscuswick/hibiscuswick/state/service"
)

const flagInterval = "interval"

func watchCommand() *cli.Command {
	return &cli.Command{
		Name:      "watch",
		Usage:     "print a line for each newly active document version, until interrupted",
		ArgsUsage: "[SERVICE...]",
		Flags: serverFlags(
			&cli.DurationFlag{Name: flagInterval, Usage: "polling interval", Value: time.Second},
		),
		Action: watch,
	}
}

func watch(ctx context.Context, cmd *cli.Command) error {
	c, err := newClient(cmd)
	if err != nil {
		return err
	}
	interval := cmd.Duration(flagInterval)
	if interval <= 0 {
		return exitErrorf(exitBadInput, "--%s must be above 0", flagInterval)
	}
	ids := lo.Map(cmd.Args().Slice(), func(s string, _ int) state.ServiceID { return state.ServiceID(s) })
	c.Watch(ctx, ids, interval,
		func(v service.Versioned) {
			printf(cmd.Writer, "%s version %d, edit id %s\n", v.Document.Service, v.Version, v.EditID)
		},
		func(err error) { printf(cmd.ErrWriter, "%v\n", err) },
	)
	return nil
}
