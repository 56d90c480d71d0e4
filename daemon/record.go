package daemon

import (
	"github.com/hibiscuswick/hibiscuswick/telemetry"
	"github.com/hibiscuswick/hibiscuswick/trace"
)

// lifeDigits is how much of a life's name tells lives apart in a trace.
const lifeDigits = 8

// record begins to record this life of the daemon, where the settings ask for
// it. A file that fails later ends the recording, never a request.
func (d *Daemon) record(life string) error {
	by := string(d.set.ID) + "." + life[:lifeDigits]
	recorder, err := trace.Open(d.set.RecordFile, by, func(err error) {
		d.log.Emit(telemetry.EventRecordingFailed, telemetry.Detail(err.Error()))
	})
	if err != nil {
		_ = d.caller.Close()
		_ = d.peers.Close()
		return err
	}
	d.recorder = recorder
	return nil
}
