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
}

// Log writes events. Each line has the fields "number", "event", "level",
// "time" (RFC 3339, nanoseconds, UTC), "msg" (what the event means) and those
// given with it.
type Log struct {
	logger *logrus.Logger
	fields []Field // of every line
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
	return &Log{logger: l}
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
	return &Log{logger: l.logger, fields: all}
}

// Emit writes one line for e, unless its level is switched off.
func (l *Log) Emit(e Event, fields ...Field) {
	info := e.info()
	if !l.logger.IsLevelEnabled(info.Level) {
		return
	}
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
