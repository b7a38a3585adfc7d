// Package eventlog writes the process's log as one JSON line per event. It never
// blocks the caller, and it limits the volume: lines above the limit are dropped
// and counted.
package eventlog

import (
	"io"
	"sync"
	"time"

	"github.com/sirupsen/logrus"
)

const (
	// maxBufferedLines bounds the lines that wait for the writer.
	maxBufferedLines = 4096
	// maxLinesPerSecond and maxBurstLines limit the lines of one event name. A busy
	// leader starts about 900 tasks per second; this keeps a representative sample.
	maxLinesPerSecond = 400
	maxBurstLines     = 800
	// omittedReportInterval is the interval between log lines that count dropped lines.
	omittedReportInterval = 5 * time.Second
)

// Fields holds the inputs and the outcome of an event.
type Fields = logrus.Fields

// Log is the process's log. Event, EventOf and Warn do nothing on a nil Log.
type Log struct {
	logger *logrus.Logger
	out    *asyncWriter

	mu      sync.Mutex
	buckets map[string]*bucket
}

type bucket struct {
	tokens     float64
	refilledAt time.Time
	omitted    int
}

// New returns a log that writes lines of the given level and above to w.
func New(w io.Writer, level logrus.Level) *Log {
	out := &asyncWriter{lines: make(chan []byte, maxBufferedLines), w: w}
	logger := logrus.New()
	logger.SetOutput(out)
	logger.SetLevel(level)
	logger.SetFormatter(&logrus.JSONFormatter{TimestampFormat: "2006-01-02T15:04:05.000Z07:00"})
	go out.run()
	l := &Log{logger: logger, out: out, buckets: map[string]*bucket{}}
	go l.reportOmitted()
	return l
}

// Event writes a line, unless the rate limit for its name is exceeded.
func (l *Log) Event(name string, fields Fields) {
	if l == nil || !l.allow(name) {
		return
	}
	l.logger.WithFields(fields).Info(name)
}

// EventOf is like Event, but calls fields only if the line is written.
func (l *Log) EventOf(name string, fields func() Fields) {
	if l == nil || !l.allow(name) {
		return
	}
	l.logger.WithFields(fields()).Info(name)
}

// Warn writes a line with an error at warning level, under the same rate limit.
func (l *Log) Warn(name string, err error, fields Fields) {
	if l == nil || !l.allow(name) {
		return
	}
	l.logger.WithFields(fields).WithError(err).Warn(name)
}

// Logger returns the underlying logger, for libraries that need one. Its lines are not
// rate-limited.
func (l *Log) Logger() *logrus.Logger { return l.logger }

func (l *Log) allow(name string) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	b := l.buckets[name]
	now := time.Now()
	if b == nil {
		b = &bucket{tokens: maxBurstLines, refilledAt: now}
		l.buckets[name] = b
	}
	b.tokens = min(maxBurstLines, b.tokens+now.Sub(b.refilledAt).Seconds()*maxLinesPerSecond)
	b.refilledAt = now
	if b.tokens < 1 {
		b.omitted++
		return false
	}
	b.tokens--
	return true
}

// reportOmitted periodically logs how many lines were dropped, by event name.
func (l *Log) reportOmitted() {
	for range time.Tick(omittedReportInterval) {
		l.mu.Lock()
		omitted := Fields{}
		for name, b := range l.buckets {
			if b.omitted > 0 {
				omitted[name] = b.omitted
				b.omitted = 0
			}
		}
		l.mu.Unlock()
		if dropped := l.out.takeDropped(); dropped > 0 {
			omitted["buffer_full"] = dropped
		}
		if len(omitted) > 0 {
			l.logger.WithFields(omitted).Warn("log_lines_omitted")
		}
	}
}

// asyncWriter passes lines to a writer that may block, and drops them while its buffer
// is full.
type asyncWriter struct {
	lines   chan []byte
	w       io.Writer
	mu      sync.Mutex
	dropped int
}

// Write implements io.Writer.
func (a *asyncWriter) Write(p []byte) (int, error) {
	line := append([]byte(nil), p...)
	select {
	case a.lines <- line:
	default:
		a.mu.Lock()
		a.dropped++
		a.mu.Unlock()
	}
	return len(p), nil
}

func (a *asyncWriter) takeDropped() int {
	a.mu.Lock()
	defer a.mu.Unlock()
	n := a.dropped
	a.dropped = 0
	return n
}

// maxWriteBytes is the size from which no more lines are joined into a write. Lines are
// joined because a system call per line costs more than the line itself.
const maxWriteBytes = 4 << 10

func (a *asyncWriter) run() {
	for line := range a.lines {
		for more := true; more && len(line) < maxWriteBytes; {
			select {
			case next := <-a.lines:
				line = append(line, next...)
			default:
				more = false
			}
		}
		// An error in writing the log cannot be reported anywhere.
		_, _ = a.w.Write(line)
	}
}
