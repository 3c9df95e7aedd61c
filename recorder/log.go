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
	// logQueueLines is the capacity of the queue of lines to be written.
	logQueueLines = 1024
	// warningShare is the fraction of the rate limit that is reserved for warnings
	// and errors, so that a flood of other lines does not displace them.
	warningShare = 0.25
	// logFlushTimeout bounds writing the queued lines when the log is closed.
	logFlushTimeout = 200 * time.Millisecond
)

// Log is a rate-limited structured log that never blocks. Lines above the rate
// limit, and lines that do not fit in the queue because the output is not read
// fast enough, are dropped and counted.
type Log struct {
	*zap.Logger

	// The queue is never closed, as others may still log when the log is closed.
	queue chan []byte
	// closing is closed by Close, and done once the queued lines have been written.
	closing, done chan struct{}

	dropped   atomic.Int64
	counter   atomic.Pointer[Counter]
	closeOnce sync.Once
}

// NewLog returns a log that writes JSON lines. Level is a zap level.
func NewLog(w io.Writer, clock jujubegate.Clock, level string, linesPerSecond int) (*Log, error) {
	parsed, err := zap.ParseAtomicLevel(level)
	if err != nil {
		return nil, fmt.Errorf("log level %q: %w", level, err)
	}
	l := &Log{queue: make(chan []byte, logQueueLines), closing: make(chan struct{}), done: make(chan struct{})}
	config := zap.NewProductionEncoderConfig()
	config.EncodeTime = zapcore.RFC3339NanoTimeEncoder
	config.EncodeDuration = zapcore.StringDurationEncoder
	warnings := int(warningShare * float64(linesPerSecond))
	core := &rateLimitedCore{
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

// RegisterMetrics adds the lines dropped from now on to LogLinesDropped.
func (l *Log) RegisterMetrics(r *Recorder) { l.counter.Store(r.Counter(LogLinesDropped)) }

// Write queues one line. It never fails; a line that does not fit, or comes after Close, is
// dropped.
func (l *Log) Write(line []byte) (int, error) {
	select {
	case <-l.closing:
		l.countDropped()
		return len(line), nil
	default:
	}
	select {
	case l.queue <- append([]byte(nil), line...):
	default:
		l.countDropped()
	}
	return len(line), nil
}

// Sync does nothing, since lines are written in the background.
func (l *Log) Sync() error { return nil }

// Close writes the queued lines, for up to logFlushTimeout. Lines that are logged
// afterwards are dropped.
func (l *Log) Close() {
	l.closeOnce.Do(func() { close(l.closing) })
	select {
	case <-l.done:
	case <-time.After(logFlushTimeout):
	}
}

func (l *Log) countDropped() {
	l.dropped.Add(1)
	if c := l.counter.Load(); c != nil {
		c.Inc()
	}
}

// write writes the queued lines to w until the log is closed and the queue is empty.
func (l *Log) write(w io.Writer) {
	defer close(l.done)
	for {
		select {
		case line := <-l.queue:
			l.writeLine(w, line)
			continue
		case <-l.closing:
		}
		select {
		case line := <-l.queue:
			l.writeLine(w, line)
		default:
			return
		}
	}
}

// writeLine writes a line. After dropped lines it adds a warning with their number.
func (l *Log) writeLine(w io.Writer, line []byte) {
	if n := l.dropped.Swap(0); n > 0 {
		line = append(line, fmt.Sprintf("{\"level\":\"warn\",\"msg\":\"recorder: log lines dropped\",\"Lines\":%d}\n", n)...)
	}
	// A failure to write the log cannot be reported anywhere.
	_, _ = w.Write(line)
}

// rateLimitedCore is a zap core that drops lines above the rate limits.
type rateLimitedCore struct {
	zapcore.Core
	log                *Log
	clock              jujubegate.Clock
	ordinary, warnings *rate.Limiter
}

// With returns a core that adds the fields to each line.
func (c *rateLimitedCore) With(fields []zapcore.Field) zapcore.Core {
	with := *c
	with.Core = c.Core.With(fields)
	return &with
}

// Check adds the core to the checked entry if the rate limit allows the line.
func (c *rateLimitedCore) Check(e zapcore.Entry, checked *zapcore.CheckedEntry) *zapcore.CheckedEntry {
	if !c.Enabled(e.Level) {
		return checked
	}
	limiter := c.ordinary
	if e.Level >= zapcore.WarnLevel {
		limiter = c.warnings
	}
	if !limiter.AllowN(c.clock.Now(), 1) {
		c.log.countDropped()
		return checked
	}
	return checked.AddCore(e, c)
}
