package recorder

import (
	"fmt"
	"io"
	"sync"
	"sync/atomic"
	"time"

	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"
	"golang.org/x/time/rate"

	"jujubegate.example/jujubegate"
)

const (
	// logQueue is the number of lines that wait for the writer.
	logQueue = 1024
	// warningShare is the part of the lines per second that is kept for
	// warnings and errors, which an overload of ordinary lines must not crowd out.
	warningShare = 0.25
	// logFlush bounds the writing of the last lines at the end.
	logFlush = 200 * time.Millisecond
)

// Log is a structured log of bounded volume that never blocks: lines over the
// rate, or that the reader of the output does not take in time, are dropped and
// counted.
type Log struct {
	*zap.Logger

	queue   chan []byte
	done    chan struct{}
	dropped atomic.Int64
	counter atomic.Pointer[Counter]
	once    sync.Once
}

// NewLog returns a log of JSON lines.
func NewLog(w io.Writer, clock jujubegate.Clock, level string, linesPerSecond int) (*Log, error) {
	parsed, err := zap.ParseAtomicLevel(level)
	if err != nil {
		return nil, fmt.Errorf("log level %q: %w", level, err)
	}
	l := &Log{queue: make(chan []byte, logQueue), done: make(chan struct{})}
	config := zap.NewProductionEncoderConfig()
	config.EncodeTime = zapcore.RFC3339NanoTimeEncoder
	config.EncodeDuration = zapcore.StringDurationEncoder
	warnings := int(warningShare * float64(linesPerSecond))
	core := &boundedCore{
		Core:     zapcore.NewCore(zapcore.NewJSONEncoder(config), l, parsed),
		log:      l,
		clock:    clock,
		ordinary: rate.NewLimiter(rate.Limit(linesPerSecond-warnings), linesPerSecond),
		warnings: rate.NewLimiter(rate.Limit(warnings), max(warnings, 1)),
	}
	l.Logger = zap.New(core)
	go l.write(w)
	return l, nil
}

// RegisterMetrics publishes the number of dropped lines.
func (l *Log) RegisterMetrics(r *Recorder) { l.counter.Store(r.Counter(LogLinesDropped)) }

// Write queues one line.
func (l *Log) Write(line []byte) (int, error) {
	select {
	case l.queue <- append([]byte(nil), line...):
	default:
		l.drop()
	}
	return len(line), nil
}

// Sync does nothing; lines are written in the background.
func (l *Log) Sync() error { return nil }

// Close writes the lines that wait, for a short time. No line may follow.
func (l *Log) Close() {
	l.once.Do(func() { close(l.queue) })
	select {
	case <-l.done:
	case <-time.After(logFlush):
	}
}

func (l *Log) drop() {
	l.dropped.Add(1)
	if c := l.counter.Load(); c != nil {
		c.Inc()
	}
}

func (l *Log) write(w io.Writer) {
	defer close(l.done)
	for line := range l.queue {
		if n := l.dropped.Swap(0); n > 0 {
			line = append(line, fmt.Sprintf("{\"level\":\"warn\",\"msg\":\"recorder: log lines dropped\",\"Lines\":%d}\n", n)...)
		}
		// There is no place left to report that the log cannot be written.
		_, _ = w.Write(line)
	}
}

// boundedCore drops lines over the rate.
type boundedCore struct {
	zapcore.Core
	log                *Log
	clock              jujubegate.Clock
	ordinary, warnings *rate.Limiter
}

// With returns the core with fields added to each line.
func (c *boundedCore) With(fields []zapcore.Field) zapcore.Core {
	with := *c
	with.Core = c.Core.With(fields)
	return &with
}

// Check adds the core to the entry if the rate allows the line.
func (c *boundedCore) Check(e zapcore.Entry, checked *zapcore.CheckedEntry) *zapcore.CheckedEntry {
	if !c.Enabled(e.Level) {
		return checked
	}
	limiter := c.ordinary
	if e.Level >= zapcore.WarnLevel {
		limiter = c.warnings
	}
	if !limiter.AllowN(c.clock.Now(), 1) {
		c.log.drop()
		return checked
	}
	return checked.AddCore(e, c)
}
