package telemetry

import (
	"io"
	"os"
	"time"

	"github.com/sirupsen/logrus"
)

// LogConfig configures a Log.
type LogConfig struct {
	Level  string    // "debug", "info", "warning" or "error"; default "info"
	Format string    // "json" or "text"; default "json"
	Output io.Writer // default standard error
	// Bounded limits the log to 40 lines per second of each event, and drops lines
	// instead of blocking on Output. The event lines_left_out reports how many lines
	// were suppressed by the limit or dropped.
	Bounded bool
}

// Log writes events. Each line has the fields "number", "event", "level",
// "time" (RFC 3339, nanoseconds, UTC), "msg" (the description of the event) and
// the fields passed to With and Emit.
type Log struct {
	logger  *logrus.Logger
	fields  []Field      // of every line
	limiter *lineLimiter // nil for no limit
	async   *asyncWriter
}

// NewLog returns a log with the configuration cfg. An unknown level is treated as
// "info"; the settings reject it earlier.
func NewLog(cfg LogConfig) *Log {
	l := logrus.New()
	l.SetOutput(os.Stderr)
	if cfg.Output != nil {
		l.SetOutput(cfg.Output)
	}
	l.SetFormatter(&logrus.JSONFormatter{TimestampFormat: time.RFC3339Nano})
	if cfg.Format == "text" {
		l.SetFormatter(&logrus.TextFormatter{TimestampFormat: time.RFC3339Nano, DisableColors: true, FullTimestamp: true})
	}
	if level, err := logrus.ParseLevel(cfg.Level); err == nil {
		l.SetLevel(level)
	}
	log := &Log{logger: l}
	if cfg.Bounded {
		log.limiter = newLineLimiter()
		log.async = newAsyncWriter(l.Out)
		l.SetOutput(log.async)
	}
	return log
}

// Discard returns a log that writes nothing.
func Discard() *Log {
	l := NewLog(LogConfig{Output: io.Discard})
	l.logger.SetLevel(logrus.PanicLevel)
	return l
}

// With returns a log that adds fields to every line. l is not changed.
func (l *Log) With(fields ...Field) *Log {
	all := make([]Field, 0, len(l.fields)+len(fields))
	all = append(all, l.fields...)
	all = append(all, fields...)
	return &Log{logger: l.logger, fields: all, limiter: l.limiter, async: l.async}
}

// Emit writes one line for e, unless its level is disabled or the line exceeds the
// limit.
func (l *Log) Emit(e Event, fields ...Field) {
	info := e.info()
	if !l.logger.IsLevelEnabled(info.Level) || !l.admitLine(e) {
		return
	}
	l.write(info, e, fields)
}

// admitLine counts a line of e against the limit of the log and reports whether the
// line may be written. It also writes how many earlier lines were suppressed by the limit
// or dropped because the output was blocked.
func (l *Log) admitLine(e Event) bool {
	if l.limiter == nil {
		return true
	}
	ok, suppressed := l.limiter.allow(time.Now(), e)
	for event, n := range suppressed {
		l.write(EventLinesLeftOut.info(), EventLinesLeftOut, []Field{Detail(event.Name()), Count(n)})
	}
	if n := l.async.dropped.Swap(0); n > 0 {
		l.write(EventLinesLeftOut.info(), EventLinesLeftOut, []Field{Detail("output blocked"), Count(int(n))})
	}
	return ok
}

func (l *Log) write(info EventInfo, e Event, fields []Field) {
	line := make(logrus.Fields, len(l.fields)+len(fields)+2)
	for _, f := range l.fields {
		line[string(f.key)] = f.value
	}
	for _, f := range fields {
		line[string(f.key)] = f.value
	}
	line[numberKey] = uint16(e)
	line[eventKey] = info.Name
	l.logger.WithFields(line).WithTime(time.Now().UTC()).Log(info.Level, info.Doc)
}
