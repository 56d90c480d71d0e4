package daemon

import (
	"github.com/hibiscuswick/hibiscuswick/telemetry"
	"github.com/hibiscuswick/hibiscuswick/trace"
)

// runIDDigits is the length of the run ID's prefix that distinguishes
// incarnations in a trace.
const runIDDigits = 8

// startRecording starts to record this incarnation of the daemon if the
// settings enable it. A later write error ends the recording and affects no
// request.
func (d *Daemon) startRecording(runID string) error {
	by := string(d.config.ID) + "." + runID[:runIDDigits]
	recorder, err := trace.Open(d.config.RecordFile, by, func(err error) {
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
