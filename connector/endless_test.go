package connector

import (
	"context"
	"errors"
	"net"
	"net/http"
	"runtime"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
)

// endless returns a serve function that answers each request with the head and
// then repeats the text until the connection is closed. It counts the bytes sent.
func endless(sent *atomic.Int64, head, text string) func(*fakeTarget, net.Conn) {
	block := []byte(strings.Repeat(text, 1+4096/len(text)))
	return func(f *fakeTarget, c net.Conn) {
		b := make([]byte, 4096)
		if _, err := c.Read(b); err != nil {
			return
		}
		f.requests.Add(1)
		_, err := c.Write([]byte(head))
		for err == nil {
			var n int
			n, err = c.Write(block)
			sent.Add(int64(n))
		}
	}
}

func TestEndlessAnswers(t *testing.T) {
	// Guards against an answer without an end that fills the memory: one header line
	// allocated 1.8 GB in a second.
	const status = "HTTP/1.1 200 OK\r\nX-Id: r-1\r\nX-Signature: s\r\n"
	cases := []struct {
		name, head, text string
		// limit is the greatest number of bytes that are read.
		limit int
	}{
		{"status line", "HTTP/1.1 200 ", "x", maxHeadBytes},
		{"bytes that are no answer", "", "\x00\xff", maxHeadBytes},
		{"header line", status + "X-Long: ", "x", maxHeadBytes},
		{"headers", status, "X-More: y\r\n", maxHeadBytes},
		{"many small headers", status + strings.Repeat("A: b\r\n", maxHeaders) + "Content-Length: 1000000\r\n\r\n", "x", maxHeadBytes},
		{"continued header line", status + "X-Long: y\r\n", " x\r\n", maxHeadBytes},
		{"informational answers", "", "HTTP/1.1 100 Continue\r\n\r\n", maxHeadBytes},
		{"body without a length", status + "\r\n", "x", maxAnswerBytes + maxOverheadBytes},
		{"announced length above the limit", status + "Content-Length: 99999999999\r\n\r\n", "x", maxHeadBytes},
		{"chunks", status + "Transfer-Encoding: chunked\r\n\r\n", "1\r\nx\r\n", maxAnswerBytes + maxOverheadBytes},
		{"chunk extension", status + "Transfer-Encoding: chunked\r\n\r\n1;", "x", maxAnswerBytes + maxOverheadBytes},
		{"chunk extensions", status + "Transfer-Encoding: chunked\r\n\r\n", "1;" + strings.Repeat("x", 2000) + "\r\nx\r\n", maxAnswerBytes + maxOverheadBytes},
		{"trailers", status + "Transfer-Encoding: chunked\r\n\r\n1\r\nx\r\n0\r\n", "X-More: y\r\n", maxAnswerBytes + maxOverheadBytes},
		{"answers to other requests", "", answer("r-0", "s", strings.Repeat("x", 5000)), 3 * (maxHeadBytes + maxForeignBytes)},
		{"body of another request's answer", "HTTP/1.1 200 OK\r\nX-Id: r-0\r\n\r\n", "x", maxForeignBytes + maxOverheadBytes},
	}
	Convey("An answer fails with the name of its target if it has no end in its", t, func() {
		for _, c := range cases {
			Convey(c.name, func() {
				var sent atomic.Int64
				f := newFakeTarget(t, endless(&sent, c.head, c.text))
				p := f.newPool(1)
				defer p.Close()
				var before, after runtime.MemStats
				runtime.ReadMemStats(&before)
				// With the race detector, 8 MB in chunks of a byte take 2 s.
				_, err := sendWithin(p, request("r-1"), 20*time.Second)
				runtime.ReadMemStats(&after)
				var broken *BrokenError
				So(errors.As(err, &broken), ShouldBeTrue)
				So(err.Error(), ShouldContainSubstring, "t-1")
				So(errors.Is(err, context.DeadlineExceeded), ShouldBeFalse)
				// Copies while a buffer grows, and what the parser makes of the bytes.
				So(after.TotalAlloc-before.TotalAlloc, ShouldBeLessThan, 4*c.limit+1<<20)
				for last := int64(-1); last != sent.Load(); time.Sleep(20 * time.Millisecond) {
					last = sent.Load()
				}
				// The socket buffers take more than was read.
				So(sent.Load(), ShouldBeLessThan, c.limit+16<<20)
			})
		}
	})
}

func TestEndlessBytesAfterAnAnswer(t *testing.T) {
	// Guards against a connection that reads on after an answer. The bytes are no
	// answer to the next request either.
	Convey("Bytes after an answer close the connection", t, func() {
		var sent atomic.Int64
		f := newFakeTarget(t, endless(&sent, answer("r-1", "s", "body"), "x"))
		p := f.newPool(1)
		defer p.Close()
		a, err := send(p, request("r-1"))
		So(err, ShouldBeNil)
		So(string(a.Body), ShouldEqual, "body")
		for last := int64(-1); last != sent.Load(); time.Sleep(20 * time.Millisecond) {
			last = sent.Load()
		}
		p.mu.Lock()
		defer p.mu.Unlock()
		So(p.open, ShouldEqual, 0)
	})
}

func TestMemoryBoundsAllAnswers(t *testing.T) {
	// Guards against many large answers that fill the memory together although each
	// is within its limit.
	const limit, connections = 4 << 20, 16
	memory := NewMemory(limit)
	Convey("Large answers fail while the memory is used up", t, func() {
		body := strings.Repeat("x", 1_000_000)
		f := newFakeTarget(t, scripted(func(int64, *http.Request) string { return answer("r-1", "s", body) }))
		p := f.newPool(connections)
		defer p.Close()
		p.settings.Memory = memory
		type result struct {
			answer Answer
			err    error
		}
		results := make(chan result, connections)
		for range connections {
			go func() {
				a, err := send(p, request("r-1"))
				results <- result{a, err}
			}()
		}
		var held []Answer
		failed := 0
		for range connections {
			r := <-results
			if r.err == nil {
				So(r.answer.Body, ShouldHaveLength, 1_000_000)
				held = append(held, r.answer)
				continue
			}
			So(errors.Is(r.err, ErrMemory), ShouldBeTrue)
			failed++
		}
		So(len(held), ShouldBeLessThanOrEqualTo, limit/1_000_000)
		So(failed, ShouldBeGreaterThan, 0)
		clear(held)
		for start := time.Now(); memory.left.Load() < limit && time.Since(start) < 5*time.Second; time.Sleep(time.Millisecond) {
			runtime.GC()
		}
		So(memory.left.Load(), ShouldEqual, limit)
		_, err := send(p, request("r-1"))
		So(err, ShouldBeNil)
	})
}

func TestRefusalWithoutAnID(t *testing.T) {
	// Guards against taking a late refusal of an earlier request for that of a request
	// that runs: it would be told to its caller as not run, or sent once more.
	const refusal = "HTTP/1.1 503 Busy\r\nX-Not-Run: 1\r\nContent-Length: 0\r\n\r\n"
	cases := []struct {
		name    string
		answers []string
		notRun  bool
	}{
		{"on a new connection", []string{refusal}, true},
		{"after another answer", []string{answer("r-1", "s", ""), refusal}, false},
	}
	Convey("A refusal without an ID", t, func() {
		for _, c := range cases {
			Convey(c.name, func() {
				var sent atomic.Int64
				f := newFakeTarget(t, scripted(func(n int64, _ *http.Request) string {
					sent.Add(1)
					return c.answers[min(int(n), len(c.answers))-1]
				}))
				p := f.newPool(1)
				defer p.Close()
				var a Answer
				var err error
				for i := range c.answers {
					a, err = send(p, request([]string{"r-1", "r-2"}[i]))
				}
				So(a.NotRun, ShouldEqual, c.notRun)
				So(err == nil, ShouldEqual, c.notRun)
			})
		}
	})
}
