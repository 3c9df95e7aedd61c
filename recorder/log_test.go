package recorder

import (
	"bytes"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	. "github.com/smartystreets/goconvey/convey"
	"go.uber.org/zap"
)

// slowWriter blocks until it is released.
type slowWriter struct {
	release chan struct{}
	mu      sync.Mutex
	written bytes.Buffer
}

func (w *slowWriter) Write(b []byte) (int, error) {
	<-w.release
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.written.Write(b)
}

func TestLogIsBoundedAndNeverBlocks(t *testing.T) {
	Convey("A reader that does not read stops nothing", t, func() {
		w := &slowWriter{release: make(chan struct{})}
		l, err := NewLog(w, clockwork.NewRealClock(), "info", 1_000_000)
		So(err, ShouldBeNil)
		rec := New(zap.NewNop(), false)
		l.RegisterMetrics(rec)
		begun := time.Now()
		for range 10_000 {
			l.Info("line")
		}
		So(time.Since(begun), ShouldBeLessThan, 2*time.Second)
		So(rec.Counter(LogLinesDropped).Value(), ShouldBeGreaterThanOrEqualTo, 10_000-logQueue-1)
		close(w.release)
		l.Close()
		w.mu.Lock()
		defer w.mu.Unlock()
		So(w.written.String(), ShouldContainSubstring, "log lines dropped")
	})
	Convey("An overload of ordinary lines is cut and leaves room for warnings", t, func() {
		w := &slowWriter{release: make(chan struct{})}
		close(w.release)
		clock := clockwork.NewFakeClock()
		l, err := NewLog(w, clock, "info", 100)
		So(err, ShouldBeNil)
		for range 10 {
			for range 1000 {
				l.Info("ordinary")
			}
			l.Warn("failed request")
			clock.Advance(time.Second)
		}
		l.Close()
		w.mu.Lock()
		defer w.mu.Unlock()
		// 75 a second, and the burst of the first second.
		So(strings.Count(w.written.String(), "ordinary"), ShouldBeLessThanOrEqualTo, 10*75+100)
		So(strings.Count(w.written.String(), "failed request"), ShouldEqual, 10)
	})
	Convey("A level that does not exist is an error", t, func() {
		_, err := NewLog(&bytes.Buffer{}, clockwork.NewRealClock(), "loud", 1)
		So(err, ShouldNotBeNil)
	})
}
