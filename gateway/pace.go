package gateway

import (
	"strconv"
	"time"

	"github.com/hibiscuswick/hibiscuswick/coordination/suspect"
	"github.com/hibiscuswick/hibiscuswick/protocol/backend"
	"github.com/hibiscuswick/hibiscuswick/state"
	"github.com/hibiscuswick/hibiscuswick/telemetry"
)

// observePace records how slow a server reports to be, and tells the other daemons if that is new.
func (g *Gateway) observePace(server state.BackendIncarnation, report backend.Report) {
	restarted := report.StartTime != 0 && server.Born != 0 && report.StartTime != server.Born
	if !g.currentSettings().Contention.ReportedPace || report.Pace <= 0 || restarted {
		return
	}
	notice := suspect.PaceNotice{Server: server, Pace: report.Pace}
	if !g.shared.recordPace(time.Now(), notice) {
		return
	}
	g.log.Emit(telemetry.EventBackendPace, telemetry.Backend(server.ID), telemetry.Detail(strconv.FormatFloat(report.Pace, 'g', 3, 64)))
	g.broadcast(notice)
}

func (s *sharedState) recordPace(now time.Time, notice suspect.PaceNotice) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.suspects.RecordPace(now, notice)
}
