package explain

import (
	"bytes"
	"slices"
	"strings"
	"testing"

	"github.com/hibiscuswick/hibiscuswick/telemetry"
)

// Timelines refer to events by name, so each name must be in the catalogue of events.
func TestEventsAreInTheCatalogue(t *testing.T) {
	names := append([]string{
		eventSent, eventRefused, eventFailed, eventAnswered, eventRetried, eventStreamLate, eventImplicated, eventQuarantined,
		eventHopSilent, eventPathRefused, eventConfigApplied, eventStoreLost, eventStoreRecovered, eventFeedSource, eventDaemonStarted, eventDrainStarted,
	}, serverEvents...)
	for _, name := range names {
		if !slices.ContainsFunc(telemetry.Events(), func(e telemetry.EventInfo) bool { return e.Name == name }) {
			t.Errorf("%s is not in the catalogue of events", name)
		}
	}
}

func readLog(t *testing.T, lines ...string) *Log {
	t.Helper()
	var log Log
	if err := log.Read(strings.NewReader(strings.Join(lines, "\n"))); err != nil {
		t.Fatal(err)
	}
	return &log
}

const (
	sentLine   = `{"time":"2026-01-01T00:00:10Z","daemon":"g1","event":"request_sent","request":"r","address":"a:1","detail":"a:1=0-4 b:1=4-8","count":1,"version":7}`
	silentLine = `{"time":"2026-01-01T00:00:11Z","daemon":"g1","event":"hop_silent","request":"r","backend":"b1","address":"b:1"}`
	failedLine = `{"time":"2026-01-01T00:00:12Z","daemon":"g1","event":"request_failed","request":"r","detail":"retry_budget","count":1,"seconds":2}`
)

// A server on the path of a stream does not answer probes. If another daemon found it
// dead too, the server failed; otherwise the daemon may have been partitioned.
func TestOtherDaemonsDistinguishDeadServerFromPartitionedDaemon(t *testing.T) {
	other := `{"time":"2026-01-01T00:00:11.5Z","daemon":"g2","event":"backend_dead","backend":"b1","address":"b:1"}`
	for _, c := range []struct {
		name  string
		lines []string
		want  string
	}{
		{"seen by another", []string{sentLine, silentLine, other, failedLine}, "1 other daemons found it dead"},
		{"seen by this one only", []string{sentLine, silentLine, failedLine}, "no other daemon saw that"},
	} {
		t.Run(c.name, func(t *testing.T) {
			s, err := readLog(t, c.lines...).Find("r")
			if err != nil {
				t.Fatal(err)
			}
			if s.Cause.Kind != KindHopDied || !strings.Contains(s.Cause.Summary, c.want) {
				t.Fatalf("got %+v", s.Cause)
			}
		})
	}
}

func TestCachedStateIsOfTheSameDaemonBeforeTheStep(t *testing.T) {
	log := readLog(t,
		`{"time":"2026-01-01T00:00:09Z","daemon":"g1","event":"document_applied","version":7}`,
		`{"time":"2026-01-01T00:00:09.5Z","daemon":"g2","event":"document_applied","version":8}`,
		`{"time":"2026-01-01T00:00:08Z","daemon":"g1","event":"backend_joined","backend":"b1","address":"b:1"}`,
		`{"time":"2026-01-01T00:00:09Z","daemon":"g1","event":"backend_leaving","backend":"b1"}`,
		`{"time":"2026-01-01T00:00:13Z","daemon":"g1","event":"document_applied","version":9}`,
		sentLine, failedLine)
	s, err := log.Find("r")
	if err != nil {
		t.Fatal(err)
	}
	cached := s.Steps[0].CachedState
	if len(cached) != 2 || cached[0].Line.Version != 7 || cached[0].Age.Seconds() != 1 || cached[1].Line.Event != eventBackendLeaving {
		t.Fatalf("got %+v", cached)
	}
	var b bytes.Buffer
	if err := s.WriteText(&b); err != nil {
		t.Fatal(err)
	}
	if !strings.Contains(b.String(), "known for 1s") || !strings.Contains(b.String(), "cause: ") {
		t.Fatalf("got %s", b.String())
	}
}

func TestAttemptsExhausted(t *testing.T) {
	s, err := readLog(t, sentLine,
		`{"time":"2026-01-01T00:00:11Z","daemon":"g1","event":"request_retried","request":"r","detail":"broken"}`,
		`{"time":"2026-01-01T00:00:12Z","daemon":"g1","event":"request_failed","request":"r","detail":"attempts","count":2}`).Find("r")
	if err != nil {
		t.Fatal(err)
	}
	if s.Cause.Kind != KindAttemptsExhausted || !strings.Contains(s.Cause.Summary, "2 attempts") || !strings.HasSuffix(s.Cause.Summary, "ended: broken") {
		t.Fatalf("got %+v", s.Cause)
	}
}

func TestReadSkipsLinesOfOtherFormats(t *testing.T) {
	log := readLog(t, "built in 3 s", "{broken", `{"a":1}`, "  10.0 node "+sentLine)
	if len(log.Lines) != 1 || log.Skipped != 3 {
		t.Fatalf("%d lines read, %d skipped", len(log.Lines), log.Skipped)
	}
	if _, err := log.Find("nobody"); err == nil {
		t.Fatal("found a timeline of a request that no line names")
	}
}

// FuzzFind checks that arbitrary input does not make Read, Find or WriteText panic or fail.
func FuzzFind(f *testing.F) {
	f.Add([]byte(sentLine + "\n" + silentLine + "\n" + failedLine))
	f.Add([]byte("{}\n" + `{"time":"2026-01-01T00:00:10Z","event":"request_refused","request":"r","detail":"no_configuration"}`))
	f.Fuzz(func(t *testing.T, b []byte) {
		var log Log
		if err := log.Read(bytes.NewReader(b)); err != nil {
			return
		}
		for _, line := range log.Lines {
			if line.Request == "" {
				continue
			}
			s, err := log.Find(line.Request)
			if err != nil {
				t.Fatal(err)
			}
			if err := s.WriteText(&bytes.Buffer{}); err != nil {
				t.Fatal(err)
			}
		}
	})
}
