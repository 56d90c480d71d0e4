package main

import (
	"context"
	"errors"

	"github.com/urfave/cli/v3"

	"github.com/hibiscuswick/hibiscuswick/ctl"
	"github.com/hibiscuswick/hibiscuswick/state"
)

func getCommand() *cli.Command {
	return &cli.Command{
		Name:      "get",
		Usage:     "print the service document in force; its version goes to standard error",
		Arguments: []cli.Argument{&cli.StringArg{Name: argService}},
		Flags:     serverFlags(),
		Action:    get,
	}
}

func get(ctx context.Context, cmd *cli.Command) error {
	id := state.ServiceID(cmd.StringArg(argService))
	if id == "" {
		return fail(exitBadInput, "%s is missing", argService)
	}
	if err := noMore(cmd); err != nil {
		return err
	}
	c, err := client(cmd)
	if err != nil {
		return err
	}
	v, err := c.Document(ctx, id)
	if errors.Is(err, ctl.ErrNotFound) {
		return fail(exitFailed, "no document of service %s is in force", id)
	}
	if err != nil {
		return fail(exitFailed, "%v", err)
	}
	printf(cmd.Writer, "%s", v.Document.Pretty())
	printf(cmd.ErrWriter, "%s version %d, edit id %s\n", id, v.Version, v.EditID)
	return nil
}
