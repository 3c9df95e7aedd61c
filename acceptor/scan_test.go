package acceptor

import (
	"bufio"
	"fmt"
	"io"
	"net/http"
	"strings"
	"testing"

	"pgregory.net/rapid"
)

func TestEndsAreThoseOfTheServer(t *testing.T) {
	// Guards against an end of a head or a body that differs from the one which net/http
	// finds, so that bytes of one request would be taken for another.
	rapid.Check(t, func(t *rapid.T) {
		lineEnd := rapid.SampledFrom([]string{"\r\n", "\n"}).Draw(t, "line end")
		head := "POST / HTTP/1.1" + lineEnd + "Host: h" + lineEnd
		for range rapid.IntRange(0, 5).Draw(t, "fields") {
			head += rapid.StringMatching(`X-[a-z]{1,9}: [a-z ]{0,40}`).Draw(t, "field") + lineEnd
		}
		content := rapid.StringN(0, 200, 400).Draw(t, "content")
		chunked := rapid.Bool().Draw(t, "chunked")
		length := int64(len(content))
		var text string
		if chunked {
			length = -1
			head += "Transfer-Encoding: chunked" + lineEnd
			for rest := content; rest != ""; {
				n := rapid.IntRange(1, len(rest)).Draw(t, "chunk")
				extension := rapid.SampledFrom([]string{"", ";a", ";a=0", ";b=\"f\""}).Draw(t, "extension")
				text += fmt.Sprintf("%x%s\r\n%s\r\n", n, extension, rest[:n])
				rest = rest[n:]
			}
			text += "0\r\n" + rapid.SampledFrom([]string{"", "T: u\r\n", "T: u\r\nV: w\r\n"}).Draw(t, "trailer") + "\r\n"
		} else {
			head += fmt.Sprintf("Content-Length: %d%s", length, lineEnd)
			text = content
		}
		head += lineEnd
		all := head + text + "GET / HTTP/1.1\r\n"

		request, err := http.ReadRequest(bufio.NewReader(strings.NewReader(all)))
		if err != nil {
			t.Fatalf("%q: %v", all, err)
		}
		if body, err := io.ReadAll(request.Body); err != nil || string(body) != content {
			t.Fatalf("%q: body %q, %v", all, body, err)
		}
		var s headScanner
		end, complete := 0, false
		for !complete && end < len(all) {
			n := rapid.IntRange(1, len(all)-end).Draw(t, "block of the head")
			var part int
			part, complete = s.scan([]byte(all[end : end+n]))
			end += part
		}
		if !complete || end != len(head) {
			t.Fatalf("%q: the head ends at %d (%v), want %d", all, end, complete, len(head))
		}
		if s.bytes != len(head) {
			t.Fatalf("%q: %d bytes of the head, want %d", all, s.bytes, len(head))
		}
		b := newBody(length)
		for !b.ended() && end < len(all) {
			n := b.wanted(rapid.IntRange(1, len(all)-end).Draw(t, "block of the body"))
			end += b.consume([]byte(all[end : end+n]))
		}
		if !b.ended() || end != len(head)+len(text) {
			t.Fatalf("%q: the body ends at %d (%v), want %d", all, end, b.ended(), len(head)+len(text))
		}
	})
}
