package acceptor

import (
	"compress/gzip"
	"errors"
	"io"
	"net/http"
	"strings"
)

const (
	// callBytes is the memory of a call of a peer besides its message, gzipBytes that of a
	// decompressor.
	callBytes = 16 << 10
	gzipBytes = 48 << 10
	// messageCopies is how many times a message is in memory while it is decoded: in the
	// buffer into which it is read, in the smaller one that this has replaced, and decoded.
	messageCopies = 4
	// answerCopies is the same for an answer: encoded and compressed.
	answerCopies = 2
)

// ErrNoMemory is the error of a message for which there is no memory at present.
var ErrNoMemory = errors.New("no memory for the message at present")

// Messages bounds the memory of calls by a budget.
type Messages struct {
	// Budget bounds the memory of all calls together.
	Budget *Budget
	// WithAnswers is set if answers count too. A call is cut if there is no memory for its
	// answer.
	WithAnswers bool
	// Server is the name of the server in the log.
	Server string
	Report *Reporter
}

// Handler returns a handler that refuses calls for which there is no memory. Messages are
// decompressed here, so that the handler is given no more than there is memory for. Only the
// encodings that peers use are accepted.
func (m *Messages) Handler(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		call := &call{messages: m, ResponseWriter: w, body: r.Body}
		defer call.release()
		compressed := r.Header.Get("Content-Encoding") == "gzip"
		switch {
		case !supported(r):
			m.refuse(w, MessagesRefused, http.StatusUnsupportedMediaType)
			return
		case !call.reserve(callBytes + headBytes(r.Header)), compressed && !call.reserve(gzipBytes):
			m.refuse(w, MessagesWithoutMemory, http.StatusServiceUnavailable)
			return
		}
		r.Body = call
		if compressed {
			r.Header.Del("Content-Encoding")
			r.ContentLength = -1
			r.Body = &decompressed{call: call}
		}
		next.ServeHTTP(call, r)
	})
}

func (m *Messages) refuse(w http.ResponseWriter, reason Reason, status int) {
	m.Report.Count(reason, m.Server)
	w.Header().Set("Connection", "close")
	w.WriteHeader(status)
}

// supported reports whether a message is in an encoding that peers use. Others can be
// compressed in a way that is only decompressed by the handler.
func supported(r *http.Request) bool {
	stream := r.Header.Get("Connect-Content-Encoding")
	return (stream == "" || stream == "identity") && !strings.HasPrefix(r.Header.Get("Content-Type"), "application/grpc")
}

func headBytes(h http.Header) int64 {
	size := 0
	for name, values := range h {
		for _, value := range values {
			size += len(name) + len(value) + fieldBytes
		}
	}
	return int64(size)
}

// call is one call. It is the reader of its message and the writer of its answer.
type call struct {
	http.ResponseWriter
	messages *Messages
	body     io.ReadCloser
	reserved int64
}

func (c *call) reserve(bytes int64) bool {
	if !c.messages.Budget.Reserve(bytes, c.reserved) {
		return false
	}
	c.reserved += bytes
	return true
}

func (c *call) release() { c.messages.Budget.Release(c.reserved) }

// counted takes memory for bytes of the message that have been read.
func (c *call) counted(n int, err error) (int, error) {
	if n > 0 && !c.reserve(int64(n)*messageCopies) {
		c.messages.Report.Count(MessagesWithoutMemory, c.messages.Server)
		return 0, ErrNoMemory
	}
	return n, err
}

// Read reads the message.
func (c *call) Read(p []byte) (int, error) { return c.counted(c.body.Read(p)) }

// Close closes the message.
func (c *call) Close() error { return c.body.Close() }

// Write sends a part of the answer.
func (c *call) Write(p []byte) (int, error) {
	if c.messages.WithAnswers && !c.reserve(int64(len(p))*answerCopies) {
		c.messages.Report.Count(MessagesWithoutMemory, c.messages.Server)
		panic(http.ErrAbortHandler)
	}
	return c.ResponseWriter.Write(p)
}

// Flush sends what has been written.
func (c *call) Flush() {
	// An error means that the connection is gone, which the next write tells.
	_ = http.NewResponseController(c.ResponseWriter).Flush()
}

// Unwrap returns the writer of the server.
func (c *call) Unwrap() http.ResponseWriter { return c.ResponseWriter }

// decompressed reads a compressed message. Only its decompressed bytes count.
type decompressed struct {
	call   *call
	reader *gzip.Reader
}

// Read reads the message.
func (d *decompressed) Read(p []byte) (int, error) {
	if d.reader == nil {
		reader, err := gzip.NewReader(d.call.body)
		if err != nil {
			return 0, err
		}
		d.reader = reader
	}
	return d.call.counted(d.reader.Read(p))
}

// Close closes the message.
func (d *decompressed) Close() error { return d.call.body.Close() }
