package gateway

import (
	"os"
	"time"

	"github.com/hibiscuswick/hibiscuswick/telemetry"
)

// reloadInterval is how often the settings file is read to detect a change without a
// signal; the file has a few KB.
const reloadInterval = 5 * time.Second

// WatchSettings applies changed settings at each signal, and periodically without one, for
// the lifetime of the process.
func (g *Gateway) WatchSettings(load func() (Settings, error), signaled <-chan os.Signal) {
	for {
		select {
		case <-signaled:
		case <-time.After(reloadInterval):
		}
		set, err := load()
		if err == nil {
			err = g.Reload(set)
		}
		if err != nil {
			g.log.Emit(telemetry.EventSettingsRefused, telemetry.Cause(err))
		}
	}
}
