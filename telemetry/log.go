package telemetry

import (
	"io"
	"os"
	"time"

	"github.com/sirupsen/logrus"
)

// LogConfig says what is logged, and where.
type LogConfig struct {
	Level  string    // "debug", "info", "warning" or "error"; default "info"
	Format string    // "json" or "text"; default "json"
	Output io.Writer // default standard error
	// Bounded writes at most 40 lines a second of each event, and never blocks on
	// Output; what was left out is told by lines_left_out.
	Bounded bool
}

// Log writes events. Each line has the fields "number", "event", "level",
// "time" (RFC 3339, nanoseconds, UTC), "msg" (what the event means) and those
// given with it.
type Log struct {
	logger *logrus.Logger
	fields []Field // of every line
	bounds *bounds // nil for none
	async  *asyncWriter
}

// NewLog returns a log that writes as cfg says. An unknown level counts as
// "info"; settings refuse one.
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
		log.bounds = newBounds()
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

// With returns a log that adds fields to every line.
func (l *Log) With(fields ...Field) *Log {
	all := make([]Field, 0, len(l.fields)+len(fields))
	all = append(all, l.fields...)
	all = append(all, fields...)
	return &Log{logger: l.logger, fields: all, bounds: l.bounds, async: l.async}
}

// Emit writes one line for e, unless its level is switched off.
func (l *Log) Emit(e Event, fields ...Field) {
	info := e.info()
	if !l.logger.IsLevelEnabled(info.Level) || !l.within(e) {
		return
	}
	l.write(info, e, fields)
}

// within reports whether a line of e is within the log's bounds, and tells what was
// left out before.
func (l *Log) within(e Event) bool {
	if l.bounds == nil {
		return true
	}
	ok, left := l.bounds.allow(time.Now(), e)
	for event, n := range left {
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
