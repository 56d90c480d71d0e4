package telemetry_test

import (
	"bytes"
	"encoding/json"
	"errors"
	"net/http/httptest"
	"sync"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/hibiscuswick/hibiscuswick/state"
	"github.com/hibiscuswick/hibiscuswick/telemetry"
)

var _ = Describe("Log", func() {
	It("writes one JSON line with the event's number and its fields", func() {
		var out bytes.Buffer
		log := telemetry.NewLog(telemetry.LogConfig{Output: &out}).With(telemetry.Daemon("entry-1"))
		log.Emit(telemetry.EventBackendDied, telemetry.Backend("e7"), telemetry.Cause(errors.New("connection refused")))
		var line map[string]any
		Expect(json.Unmarshal(out.Bytes(), &line)).To(Succeed())
		Expect(line).To(HaveKey("time"))
		delete(line, "time")
		Expect(line).To(Equal(map[string]any{
			"number": float64(telemetry.EventBackendDied), "event": "backend_died", "level": "warning",
			"msg":    telemetry.EventBackendDied.Doc(),
			"daemon": "entry-1", "backend": "e7", "cause": "connection refused",
		}))
	})

	It("omits events below its level", func() {
		var out bytes.Buffer
		log := telemetry.NewLog(telemetry.LogConfig{Level: "warning", Output: &out})
		log.Emit(telemetry.EventDaemonStarted)
		Expect(out.Len()).To(BeZero())
	})

	It("does not get the fields of a log derived from it", func() {
		var out bytes.Buffer
		base := telemetry.NewLog(telemetry.LogConfig{Output: &out}).With(telemetry.Daemon("a"))
		base.With(telemetry.Peer("b"))
		base.Emit(telemetry.EventDaemonStarted)
		Expect(out.String()).NotTo(ContainSubstring(`"peer"`))
	})
})

var _ = Describe("Metrics", func() {
	scrape := func(m *telemetry.Metrics) string {
		w := httptest.NewRecorder()
		m.Handler().ServeHTTP(w, httptest.NewRequest("GET", "/metrics", nil))
		return w.Body.String()
	}

	It("exports each refusal and retry reason as 0 from the start", func() {
		m := telemetry.NewMetrics()
		defer m.Close()
		text := scrape(m)
		for _, r := range state.Reasons() {
			Expect(text).To(ContainSubstring(`refused_total{reason="` + string(r) + `"} 0`))
		}
		for _, r := range state.RetryReasons() {
			Expect(text).To(ContainSubstring(`retried_total{reason="` + string(r) + `"} 0`))
		}
	})

	It("counts reports of concurrent goroutines, separately from another daemon", func() {
		m, other := telemetry.NewMetrics(), telemetry.NewMetrics()
		defer other.Close()
		proof, _ := state.NewDispatches().NotRun()
		var wg sync.WaitGroup
		for range 8 {
			wg.Go(func() {
				for range 100 {
					m.Accepted("drafts", "check")
					m.Ended("drafts", "check", state.NewRefused(proof, state.ReasonQueueFull, 1))
					m.Ended("drafts", "check", state.Failed{Reason: state.ReasonBackendFailed})
					m.Ended("drafts", "check", state.Unknown{Reason: state.ReasonBackendFailed})
					m.Ended("drafts", "check", state.Completed{Tokens: 2})
					m.Retried(state.RetrySlotLost)
					m.Tokens(2)
				}
			})
		}
		wg.Wait()
		m.SetFlag(telemetry.Draining, true)
		m.SetService(telemetry.DocumentVersion, "drafts", 7)
		m.ObserveClass(telemetry.FirstTokenSeconds, "drafts", "check", 60*time.Millisecond)
		Expect(m.Close()).To(Succeed()) // reports the remaining counts
		text := scrape(m)
		for _, line := range []string{
			`accepted_total{class="check",service="drafts"} 800`,
			`completed_total{class="check",service="drafts"} 800`,
			`refused_total{reason="queue_full"} 800`,
			`failed_total{reason="backend_failed"} 800`,
			`unknown_total{reason="backend_failed"} 800`,
			`retried_total{reason="slot_lost"} 800`,
			`tokens_total 1600`,
			`draining 1`,
			`document_version{service="drafts"} 7`,
			`first_token_seconds_bucket{class="check",service="drafts",le="0.068"} 1`,
			`first_token_seconds_bucket{class="check",service="drafts",le="0.05"} 0`,
		} {
			Expect(text).To(ContainSubstring(line + "\n"))
		}
		Expect(scrape(other)).To(ContainSubstring("tokens_total 0\n"))
	})

	It("counts a reason that only a newer version knows", func() {
		m := telemetry.NewMetrics()
		m.Refused("of_tomorrow")
		Expect(m.Close()).To(Succeed())
		Expect(scrape(m)).To(ContainSubstring(`refused_total{reason="of_tomorrow"} 1`))
	})
})
