package acceptor

import (
	"bytes"
	"compress/gzip"
	"errors"
	"io"
	"net/http"
	"net/http/httptest"
	"testing"

	"github.com/jonboulle/clockwork"
	"go.uber.org/zap"
)

func compress(t *testing.T, content []byte) []byte {
	t.Helper()
	var b bytes.Buffer
	w := gzip.NewWriter(&b)
	if _, err := w.Write(content); err != nil {
		t.Fatal(err)
	}
	if err := w.Close(); err != nil {
		t.Fatal(err)
	}
	return b.Bytes()
}

func TestMessagesStayWithinMemory(t *testing.T) {
	// Guards against messages of peers, or answers to them, that take more memory together
	// than there is, also compressed ones that are small on the wire.
	const limit = 1 << 20
	large, small := make([]byte, 1<<20), []byte("message")
	cases := []struct {
		name     string
		body     []byte
		header   [2]string
		answer   int
		status   int
		complete bool
	}{
		{"small", small, [2]string{}, 10, http.StatusOK, true},
		{"large", large, [2]string{}, 10, http.StatusOK, false},
		{"compressed", compress(t, small), [2]string{"Content-Encoding", "gzip"}, 10, http.StatusOK, true},
		{"large when decompressed", compress(t, large), [2]string{"Content-Encoding", "gzip"}, 10, http.StatusOK, false},
		{"not compressed as announced", small, [2]string{"Content-Encoding", "gzip"}, 10, http.StatusOK, false},
		{"compressed stream", small, [2]string{"Connect-Content-Encoding", "gzip"}, 10, http.StatusUnsupportedMediaType, false},
		{"other protocol", small, [2]string{"Content-Type", "application/grpc+proto"}, 10, http.StatusUnsupportedMediaType, false},
		{"large answer", small, [2]string{}, limit, 0, true},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			budget := NewBudget(limit)
			m := &Messages{Budget: budget, WithAnswers: true, Server: "Test", Report: NewReporter(clockwork.NewFakeClock(), zap.NewNop(), nil)}
			var content []byte
			var readError error
			handler := m.Handler(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				content, readError = io.ReadAll(r.Body)
				_, _ = w.Write(make([]byte, c.answer))
			}))
			r := httptest.NewRequest(http.MethodPost, "/", bytes.NewReader(c.body))
			if c.header[0] != "" {
				r.Header.Set(c.header[0], c.header[1])
			}
			w := httptest.NewRecorder()
			aborted := false
			func() {
				defer func() {
					err, _ := recover().(error)
					aborted = errors.Is(err, http.ErrAbortHandler)
				}()
				handler.ServeHTTP(w, r)
			}()
			if aborted != (c.status == 0) {
				t.Errorf("the call was cut: %v", aborted)
			}
			if !aborted && w.Code != c.status {
				t.Errorf("status %d, want %d", w.Code, c.status)
			}
			if complete := readError == nil && bytes.Equal(content, small); complete != c.complete {
				t.Errorf("read %d bytes, %v; want all of them: %v", len(content), readError, c.complete)
			}
			if int64(len(content))*messageCopies > limit {
				t.Errorf("%d bytes were read, for which there is no memory", len(content))
			}
			if used := budget.Used(); used != 0 {
				t.Errorf("%d bytes are taken after the call", used)
			}
		})
	}
}
