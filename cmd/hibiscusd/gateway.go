package main

import (
	"context"
	"net"
	"os"
	"os/signal"
	"runtime"
	"runtime/debug"
	"strconv"
	"syscall"

	"github.com/urfave/cli/v3"

	"github.com/hibiscuswick/hibiscuswick/gateway"
	"github.com/hibiscuswick/hibiscuswick/platform"
	"github.com/hibiscuswick/hibiscuswick/telemetry"
)

// memoryShare is the share of the instance's memory set as the soft limit of the Go
// runtime, beyond which the garbage collector runs more often. The rest is left for
// kernel buffers and code.
const memoryShare = 0.6

func gatewayCommand() *cli.Command {
	return &cli.Command{
		Name:  "gateway",
		Usage: "run as a gateway on the platform whose settings file " + platform.SettingsEnv + " names",
		Flags: []cli.Flag{
			&cli.IntFlag{Name: "metrics-port", Usage: "serve metrics at /metrics on `PORT`; 0 disables them"},
			&cli.BoolFlag{Name: "check", Usage: "check the settings and exit"},
		},
		Action: runGateway,
	}
}

// loadGateway reads the settings file rendered by the platform.
func loadGateway(cmd *cli.Command) (gateway.Settings, error) {
	set, err := platform.LoadSettings(os.Getenv(platform.SettingsEnv))
	if err != nil {
		return set, err
	}
	if port := cmd.Int("metrics-port"); port != 0 {
		host, _, err := net.SplitHostPort(set.CallerAddress)
		if err != nil {
			return set, err
		}
		set.MetricsAddress = net.JoinHostPort(host, strconv.Itoa(port))
	}
	return set, nil
}

func runGateway(_ context.Context, cmd *cli.Command) error {
	// An instance has a fraction of one core, so that more threads would only compete
	// for it.
	runtime.GOMAXPROCS(1)
	hup := make(chan os.Signal, 1)
	signal.Notify(hup, syscall.SIGHUP)
	set, err := loadGateway(cmd)
	if err != nil {
		return cli.Exit(err.Error(), exitBadInput)
	}
	if cmd.Bool("check") {
		return nil
	}
	if set.MemoryMB > 0 {
		debug.SetMemoryLimit(int64(memoryShare * float64(set.MemoryMB) * (1 << 20)))
	}
	log := telemetry.NewLog(telemetry.LogConfig{Level: "info", Format: "json", Output: os.Stdout, Bounded: true})
	metrics := telemetry.NewMetrics()
	defer func() { _ = metrics.Close() }()
	term := make(chan os.Signal, 1)
	signal.Notify(term, syscall.SIGTERM, os.Interrupt)
	d, err := platform.NewDaemon(set, log, metrics)
	if err != nil {
		return err
	}
	go d.Gateway().WatchSettings(func() (gateway.Settings, error) { return loadGateway(cmd) }, hup)
	stop := make(chan struct{})
	go func() {
		<-term
		close(stop)
	}()
	return d.Run(stop)
}
