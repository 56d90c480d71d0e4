package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"github.com/urfave/cli/v3"

	"github.com/hibiscuswick/hibiscuswick/internal/demo"
)

const (
	flagOut     = "out"
	flagDaemons = "daemons"

	maxDaemons = 9
)

// standinCommand runs stand-ins of all systems around the daemons, so that daemons
// can be tried out as separate processes.
func standinCommand() *cli.Command {
	return &cli.Command{
		Name:  "standin",
		Usage: "run a platform, engines and plain servers on loopback ports until interrupted",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: flagOut, Usage: "`FOLDER` for the daemons' settings and the services' documents", Required: true},
			&cli.IntFlag{Name: flagDaemons, Usage: "number of daemons to list and write settings for", Value: 3},
		},
		Action: runStandins,
	}
}

func runStandins(_ context.Context, cmd *cli.Command) error {
	n := cmd.Int(flagDaemons)
	if n < 1 || n > maxDaemons {
		return cli.Exit(fmt.Sprintf("--%s must be from 1 to %d", flagDaemons, maxDaemons), exitBadInput)
	}
	s, err := demo.StartStandins(cmd.String(flagOut), n)
	if err != nil {
		return err
	}
	defer s.Close()
	fmt.Printf("platform at %s, %d engines, %d plain servers; settings and documents are in %s\n",
		s.Platform.URL(), len(s.Engines), len(s.PlainServers), cmd.String(flagOut))
	stop := make(chan os.Signal, 1)
	signal.Notify(stop, syscall.SIGTERM, os.Interrupt)
	<-stop
	return nil
}
