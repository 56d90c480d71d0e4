package measure

import (
	"bufio"
	"context"
	"net/http"
	"os"
	"runtime"
	"strconv"
	"strings"
	"syscall"
	"time"

	"github.com/hibiscuswick/hibiscuswick/telemetry"
)

const loadAverageFile = "/proc/loadavg"

// Machine describes the machine that a measurement ran on.
type Machine struct {
	Processors  int     `json:"processors"`
	LoadAverage float64 `json:"load_average"` // over the last minute; 0 if unknown
}

func currentMachine() Machine {
	m := Machine{Processors: runtime.NumCPU()}
	if text, err := os.ReadFile(loadAverageFile); err == nil {
		first, _, _ := strings.Cut(string(text), " ")
		m.LoadAverage, _ = strconv.ParseFloat(first, 64)
	}
	return m
}

// processorTime returns the processor time of this process, which runs daemons,
// stand-ins and callers.
func processorTime() time.Duration {
	var u syscall.Rusage
	if syscall.Getrusage(syscall.RUSAGE_SELF, &u) != nil {
		return 0
	}
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

// controlTime returns the busy time of each daemon's control goroutine, by base URL.
func controlTime(ctx context.Context, urls []string) map[string]time.Duration {
	out := make(map[string]time.Duration, len(urls))
	for _, u := range urls {
		if us, ok := readCounter(ctx, u, telemetry.ControlMicrosecondsTotal); ok {
			out[u] = time.Duration(us) * time.Microsecond
		}
	}
	return out
}

// readCounter reads one counter from a daemon's metrics endpoint.
func readCounter(ctx context.Context, url string, name telemetry.Name) (float64, bool) {
	r, err := http.NewRequestWithContext(ctx, http.MethodGet, url+"/metrics", nil)
	if err != nil {
		return 0, false
	}
	resp, err := http.DefaultClient.Do(r)
	if err != nil {
		return 0, false
	}
	defer func() { _ = resp.Body.Close() }()
	lines := bufio.NewScanner(resp.Body)
	for lines.Scan() {
		metric, value, ok := strings.Cut(lines.Text(), " ")
		if ok && strings.HasSuffix(metric, string(name)) {
			v, err := strconv.ParseFloat(value, 64)
			return v, err == nil
		}
	}
	return 0, false
}

// usage measures processor time over an interval.
type usage struct {
	urls    []string
	start   time.Time
	process time.Duration
	control map[string]time.Duration
}

func startUsage(ctx context.Context, urls []string) usage {
	return usage{urls: urls, start: time.Now(), process: processorTime(), control: controlTime(ctx, urls)}
}

// end returns the share of all processors that the process used, and the share of one
// core that the busiest control goroutine used.
func (u usage) end(ctx context.Context) (process, control float64) {
	took := time.Since(u.start).Seconds()
	process = (processorTime() - u.process).Seconds() / took / float64(runtime.NumCPU())
	for url, t := range controlTime(ctx, u.urls) {
		control = max(control, (t-u.control[url]).Seconds()/took)
	}
	return process, control
}
