package daemon

import (
	"github.com/samber/do/v2"

	"github.com/hibiscuswick/hibiscuswick/protocol/platform"
	"github.com/hibiscuswick/hibiscuswick/settings"
	"github.com/hibiscuswick/hibiscuswick/telemetry"
	"github.com/hibiscuswick/hibiscuswick/transport/enginehttp"
	"github.com/hibiscuswick/hibiscuswick/transport/platformhttp"
)

// provide registers the services that a daemon is built from: its clients of
// external systems, log and metrics. A program that embeds a daemon overrides a
// service here to use its own platform or engines.
func provide(set settings.Settings, log *telemetry.Log) do.Injector {
	i := do.New()
	do.ProvideValue(i, set)
	do.ProvideValue(i, log)
	do.Provide(i, func(do.Injector) (*telemetry.Metrics, error) { return telemetry.NewMetrics(), nil })
	do.Provide(i, provideTable)
	do.Provide(i, provideInstances)
	do.Provide(i, provideClients)
	return i
}

func platformOptions(i do.Injector) platformhttp.Options {
	set := do.MustInvoke[settings.Settings](i)
	return platformhttp.Options{ProgressTimeout: set.Store.Timeout.Std()}
}

func provideTable(i do.Injector) (platform.Table, error) {
	set := do.MustInvoke[settings.Settings](i)
	return platformhttp.NewTable(set.Platform.TableURL, platformOptions(i)), nil
}

func provideInstances(i do.Injector) (platform.Instances, error) {
	set := do.MustInvoke[settings.Settings](i)
	return platformhttp.NewInstances(set.Platform.InstancesURL, platformOptions(i)), nil
}

func provideClients(i do.Injector) (*clients, error) {
	set := do.MustInvoke[settings.Settings](i)
	metrics := do.MustInvoke[*telemetry.Metrics](i)
	return newClients(enginehttp.Options{
		DialTimeout:     set.Backends.ConnectTimeout.Std(),
		ProgressTimeout: set.Backends.ProgressTimeout.Std(),
		OnUnresponsive:  func() { metrics.Add(telemetry.SilentConnectionsTotal, 1) },
	}), nil
}
