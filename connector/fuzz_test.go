package connector

import (
	"bufio"
	"bytes"
	"net/http"
	"testing"

	"github.com/jonboulle/clockwork"
)

func FuzzAnswer(f *testing.F) {
	// Guards against a panic, a body above its limit, an answer of another request
	// and reading without a bound, whatever bytes a target sends.
	f.Add([]byte(answer("r-1", "s", "body")))
	f.Add([]byte(answer("r-0", "s", "late") + answer("r-1", "s", "body")))
	f.Add([]byte("HTTP/1.1 100 Continue\r\n\r\n" + answer("r-1", "s", "body")))
	f.Add([]byte("HTTP/1.1 200 OK\r\nX-Id: r-1\r\nTransfer-Encoding: chunked\r\n\r\n4;x=y\r\nbody\r\n0\r\nX-Trailer: z\r\n\r\n"))
	f.Add([]byte("HTTP/1.1 200 OK\r\nX-Id: r-1\r\nX-Signature: s\r\n\r\nuntil the end"))
	f.Add([]byte("HTTP/1.1 503 Busy\r\nX-Not-Run: 1\r\nContent-Length: 0\r\n\r\n"))
	f.Add([]byte("HTTP/1.1 200 OK\r\nX-Id: r-1\r\nX-Load: 1,2,3\r\nKeep-Alive: timeout=99999999999999999\r\nContent-Length: 18446744073709551615\r\n\r\n"))
	f.Fuzz(func(t *testing.T, data []byte) {
		const limit = 1000
		c := &connection{clock: clockwork.NewFakeClock(), names: names, memory: NewMemory(1 << 20)}
		e := &exchange{request: &Request{ID: "r-1", Method: http.MethodGet, MaxAnswer: limit}}
		e.written.Store(true)
		source := bytes.NewReader(data)
		m := &meteredReader{reader: source}
		res := c.readMatching(&answerReader{Reader: bufio.NewReaderSize(m, readBufferBytes), meter: m}, e)
		if res.err == nil && (len(res.answer.Body) > limit || res.answer.Header.Get("X-Id") != "r-1" && !res.answer.NotRun) {
			t.Errorf("answer with %d bytes and ID %q", len(res.answer.Body), res.answer.Header.Get("X-Id"))
		}
		read := len(data) - source.Len()
		if most := (maxForeignAnswers+1)*((maxInterim+1)*maxHeadBytes+maxForeignBytes+maxOverheadBytes) + readBufferBytes; read > most {
			t.Errorf("%d bytes read, at most %d expected", read, most)
		}
	})
}

func FuzzReadBody(f *testing.F) {
	// Guards against a body that exceeds its limit or does not hold the bytes sent.
	f.Add([]byte("body"), int64(4), 10)
	f.Add([]byte("body"), int64(-1), 3)
	f.Fuzz(func(t *testing.T, data []byte, length int64, limit int) {
		limit &= 1<<20 - 1
		body, err := ReadBody(bytes.NewReader(data), length, limit, NewMemory(4<<20))
		if err != nil {
			return
		}
		if len(body) > limit && length < 0 || !bytes.HasPrefix(data, body) || length < 0 && len(body) != len(data) {
			t.Errorf("%d of %d bytes with a limit of %d", len(body), len(data), limit)
		}
	})
}
