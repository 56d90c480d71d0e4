package gateway

import (
	"os"
	"time"

	"github.com/hibiscuswick/hibiscuswick/telemetry"
)

// reloadInterval is how often the settings file is read for a change that no signal
// told: it holds a few KB.
const reloadInterval = 5 * time.Second

// FollowSettings takes up changed settings at each signal, and now and then without
// one, for as long as the process lives.
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
