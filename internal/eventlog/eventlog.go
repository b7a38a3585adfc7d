// Package eventlog writes the process's log: one JSON line per event. It never
// blocks the caller, and its volume is bounded: what exceeds the bound is left
// out and counted.
package eventlog

import (
	"io"
	"sync"
	"time"

	"github.com/sirupsen/logrus"
)

const (
	// maxBufferedLines is how many lines may wait for the writer.
	maxBufferedLines = 4096
	// maxLinesPerSecond and burst bound the lines of one event name: a busy leader
	// starts some 900 tasks a second, of which this keeps a fair sample.
	maxLinesPerSecond = 400
	maxBurstLines     = 800
	// omittedReportInterval is how often the count of omitted lines is told.
	omittedReportInterval = 5 * time.Second
)

// Fields are the inputs and the outcome of an event.
type Fields = logrus.Fields

// Log is the process's log.
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

// New returns a log that writes to w, with node in each line.
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

// Event writes a line, unless too many of its name came of late.
func (l *Log) Event(name string, fields Fields) {
	if l == nil || !l.allow(name) {
		return
	}
	l.logger.WithFields(fields).Info(name)
}

// EventOf is Event with fields that are only worked out for a line that is written.
func (l *Log) EventOf(name string, fields func() Fields) {
	if l == nil || !l.allow(name) {
		return
	}
	l.logger.WithFields(fields()).Info(name)
}

// Warn writes a line for something that went wrong.
func (l *Log) Warn(name string, err error, fields Fields) {
	if l == nil || !l.allow(name) {
		return
	}
	l.logger.WithFields(fields).WithError(err).Warn(name)
}

// Logger is the logger itself, for libraries that take one.
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

// reportOmitted tells what was left out.
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

// asyncWriter hands lines to a writer that may block, and drops them while its
// buffer is full.
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

// maxWriteBytes bounds the bytes that are joined into one write: a system call a
// line costs more than the line.
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
		// Nobody is left to tell when the log itself cannot be written.
		_, _ = a.w.Write(line)
	}
}
