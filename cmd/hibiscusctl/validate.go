package main

import (
	"context"

	"github.com/urfave/cli/v3"
)

func validateCommand() *cli.Command {
	return &cli.Command{
		Name:      "validate",
		Usage:     "check a service document and list every fault with its path",
		Arguments: []cli.Argument{&cli.StringArg{Name: argFile}},
		Action: func(_ context.Context, cmd *cli.Command) error {
			_, err := readDocument(cmd)
			return err
		},
	}
}
