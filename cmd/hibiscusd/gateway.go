package main

import (
	"context"
	"os"
	"os/signal"
	"runtime"
	"runtime/debug"
	"syscall"

	"github.com/urfave/cli/v3"

	"github.com/hibiscuswick/hibiscuswick/platform"
	"github.com/hibiscuswick/hibiscuswick/telemetry"
)

// memoryShare is the part of a process's memory that the heap may take before the
// collector works harder; the rest is for stacks, buffers of the kernel and code.
const memoryShare = 0.6

func gatewayCommand() *cli.Command {
	return &cli.Command{
		Name:   "gateway",
		Usage:  "run as a gateway on the platform whose settings file " + platform.SettingsEnv + " names",
		Action: runGateway,
	}
}

func runGateway(context.Context, *cli.Command) error {
	// An instance has a part of one core; more threads only take turns.
	runtime.GOMAXPROCS(1)
	set, err := platform.LoadSettings(os.Getenv(platform.SettingsEnv))
	if err != nil {
		return cli.Exit(err.Error(), exitBadInput)
	}
	if set.MemoryMB > 0 {
		debug.SetMemoryLimit(int64(memoryShare * float64(set.MemoryMB) * (1 << 20)))
	}
	log := telemetry.NewLog(telemetry.LogConfig{Level: "info", Format: "json", Output: os.Stdout})
	d, err := platform.NewDaemon(set, log)
	if err != nil {
		return err
	}
	hup := make(chan os.Signal, 1)
	signal.Notify(hup, syscall.SIGHUP)
	term := make(chan os.Signal, 1)
	signal.Notify(term, syscall.SIGTERM, os.Interrupt)
	stop := make(chan struct{})
	go func() {
		<-term
		close(stop)
	}()
	return d.Run(stop)
}
