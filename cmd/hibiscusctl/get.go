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
		Usage:     "print the active service document, and its version on standard error",
		Arguments: []cli.Argument{&cli.StringArg{Name: argService}},
		Flags:     serverFlags(),
		Action:    get,
	}
}

func get(ctx context.Context, cmd *cli.Command) error {
	id := state.ServiceID(cmd.StringArg(argService))
	if id == "" {
		return exitErrorf(exitBadInput, "%s is missing", argService)
	}
	if err := rejectExtraArgs(cmd); err != nil {
		return err
	}
	c, err := newClient(cmd)
	if err != nil {
		return err
	}
	v, err := c.Document(ctx, id)
	if errors.Is(err, ctl.ErrNotFound) {
		return exitErrorf(exitFailed, "service %s has no active document", id)
	}
	if err != nil {
		return exitErrorf(exitFailed, "%v", err)
	}
	printf(cmd.Writer, "%s", v.Document.Pretty())
	printf(cmd.ErrWriter, "%s version %d, edit id %s\n", id, v.Version, v.EditID)
	return nil
}
