package dialer

import (
	"bytes"
	"context"
	"fmt"
	"net"
	"testing"
)

// BenchmarkSend measures sequential exchanges over loopback with a server in the
// same process that only looks for the end of each request.
func BenchmarkSend(b *testing.B) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		b.Fatal(err)
	}
	defer l.Close()
	answer := fmt.Appendf(nil, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(goodAnswer), goodAnswer)
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go func() {
				defer c.Close()
				buffer := make([]byte, 4096)
				for {
					n, err := c.Read(buffer)
					if err != nil {
						return
					}
					if bytes.HasSuffix(buffer[:n], []byte("}}")) {
						_, _ = c.Write(answer)
					}
				}
			}()
		}
	}()
	d := newTestDialer(l.Addr().String(), nil)
	defer d.Close()
	r := newTestRequest(false)
	b.ReportAllocs()
	for b.Loop() {
		if refusal := d.Send(context.Background(), r).Refusal; refusal != nil {
			b.Fatal(refusal)
		}
	}
}
