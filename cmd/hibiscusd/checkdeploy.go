package main

import (
	"context"
	"errors"
	"fmt"
	"os"

	"github.com/urfave/cli/v3"

	"github.com/hibiscuswick/hibiscuswick/platform"
)

func checkDeployCommand() *cli.Command {
	return &cli.Command{
		Name:  "check-deploy",
		Usage: "check a platform's settings file and the deploy file, and exit",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "settings", Usage: "`FILE` as the platform renders it; by default the one that " + platform.SettingsEnv + " names, if any"},
			&cli.StringFlag{Name: "deploy", Usage: "deploy `FILE`; the paths in it are relative to the working directory", Value: "deploy/system.toml"},
		},
		Action: checkDeploy,
	}
}

// checkDeploy reports all faults of both files at once.
func checkDeploy(_ context.Context, cmd *cli.Command) error {
	var faults []error
	settings := cmd.String("settings")
	if settings == "" {
		settings = os.Getenv(platform.SettingsEnv)
	}
	if settings != "" {
		if _, err := platform.LoadSettings(settings); err != nil {
			faults = append(faults, err)
		}
	}
	if err := platform.CheckDeploy(".", cmd.String("deploy")); err != nil {
		faults = append(faults, err)
	}
	if err := errors.Join(faults...); err != nil {
		return cli.Exit(err.Error(), exitBadInput)
	}
	_, err := fmt.Fprintln(cmd.Root().Writer, "no faults found")
	return err
}
