// Command hibiscusd runs one hibiscuswick daemon.
package main

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"github.com/urfave/cli/v3"

	"github.com/hibiscuswick/hibiscuswick/daemon"
	"github.com/hibiscuswick/hibiscuswick/internal/demo"
	"github.com/hibiscuswick/hibiscuswick/settings"
	"github.com/hibiscuswick/hibiscuswick/telemetry"
)

// Exit codes.
const (
	exitFailed   = 1
	exitBadInput = 2
)

func main() {
	if err := command().Run(context.Background(), os.Args); err != nil {
		fmt.Fprintln(os.Stderr, "hibiscusd:", err)
		os.Exit(exitFailed)
	}
}

func command() *cli.Command {
	file := &cli.StringFlag{Name: "settings", Usage: "settings `FILE`", Required: true}
	return &cli.Command{
		Name:  "hibiscusd",
		Usage: "run a daemon of the router",
		Commands: []*cli.Command{
			{Name: "run", Usage: "run until drained", Flags: []cli.Flag{file, recordFlag()}, Action: run},
			{Name: "check", Usage: "check the settings and list every fault", Flags: []cli.Flag{file}, Action: check},
			{Name: "demo", Usage: "run three daemons on embedded stand-ins", Action: runDemo},
			standinCommand(),
			gatewayCommand(),
			checkDeployCommand(),
		},
	}
}

func recordFlag() cli.Flag {
	return &cli.StringFlag{Name: "record", Usage: "append a trace for replay to `FILE`, overriding record_file of the settings"}
}

// load reads the settings and prints every fault on a line of its own.
func load(cmd *cli.Command) (settings.Settings, error) {
	set, faults, err := settings.Load(cmd.String("settings"))
	if err != nil {
		return set, cli.Exit(err.Error(), exitBadInput)
	}
	if len(faults) > 0 {
		for _, f := range faults {
			fmt.Fprintln(os.Stderr, f)
		}
		return set, cli.Exit(fmt.Sprintf("%d faults in the settings", len(faults)), exitBadInput)
	}
	return set, nil
}

func check(_ context.Context, cmd *cli.Command) error {
	_, err := load(cmd)
	return err
}

func run(ctx context.Context, cmd *cli.Command) error {
	set, err := load(cmd)
	if err != nil {
		return err
	}
	if path := cmd.String("record"); path != "" {
		set.RecordFile = path
	}
	log := telemetry.NewLog(telemetry.LogConfig{Level: set.Log.Level, Format: set.Log.Format})
	d, err := daemon.New(set, log)
	if err != nil {
		return err
	}
	d.Run()
	stop := make(chan os.Signal, 1)
	signal.Notify(stop, syscall.SIGTERM, os.Interrupt)
	select {
	case <-stop:
		d.Drain(ctx)
		<-d.Done()
	case <-d.Done():
	}
	return nil
}

func runDemo(ctx context.Context, _ *cli.Command) error {
	log := telemetry.NewLog(telemetry.LogConfig{Level: "error", Format: "text"})
	report, err := demo.Run(ctx, log, func(line string) { fmt.Fprintln(os.Stderr, line) })
	if err != nil {
		return err
	}
	line, err := json.Marshal(report)
	if err != nil {
		return err
	}
	fmt.Println(string(line))
	if !report.OK() {
		return errors.New("an answer was lost, duplicated or out of order")
	}
	return nil
}
