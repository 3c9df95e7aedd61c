package conductor

import (
	"io"
	"strings"
	"testing"

	"go.uber.org/zap"

	"jujubegate.example/jujubegate/acceptor"
	"jujubegate.example/jujubegate/connector"
)

func TestResourcesFitIntoMachine(t *testing.T) {
	// Guards against parts of the memory or the descriptors that are more than the whole
	// together, and against servers without connections on a small machine.
	const (
		// programBytes is what the program takes at rest in the large deployments.
		programBytes = 24 << 20
		// smallBodyBytes is the size up to which a body of a caller does not count.
		smallBodyBytes = 16 << 10
	)
	cases := []struct {
		name                  string
		memoryMB, descriptors int
		// instances all contact the first seed when they start.
		instances int
	}{
		{"platform's", 284, 4100, 8},
		{"smallest of the large deployments", 160, 4100, 195},
		{"usual one of the large deployments", 184, 4100, 195},
		{"strong", 536, 8192, 195},
		{"few descriptors", 284, 256, 8},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			s := &Settings{MemoryMB: c.memoryMB, Descriptors: c.descriptors}
			r := newResources(s, zap.NewNop())
			accepted := 0
			for _, share := range []float64{callerShare, peerShare, lookupShare, readyShare, metricsShare} {
				n := r.connections(share)
				if n < minConnections {
					t.Errorf("a server has %d connections", n)
				}
				accepted += n
			}
			if n := r.connections(peerShare); n < c.instances-1 {
				t.Errorf("%d connections of peers for %d instances", n, c.instances)
			}
			if accepted > c.descriptors*3/4 {
				t.Errorf("%d connections are accepted with %d descriptors", accepted, c.descriptors)
			}
			memory := float64(c.memoryMB << 20)
			parts := (headMemoryPart+requestMemoryPart+answerMemoryPart+messageMemoryPart)*memory + float64(accepted*acceptor.ConnectionBytes) +
				float64(r.connections(callerShare)*smallBodyBytes)
			if limit := float64(s.GoMemoryLimit()); parts+programBytes > limit {
				t.Errorf("%.0f MB are promised with %.0f", (parts+programBytes)/(1<<20), limit/(1<<20))
			}
		})
	}
}

func TestRequestsLeaveMemoryForAnswers(t *testing.T) {
	// Guards against large bodies of callers, which can come slowly, that take the memory
	// without which the answers of targets fail.
	r := newResources(&Settings{MemoryMB: 284, Descriptors: 4100}, zap.NewNop())
	const size = 256 << 10
	var held [][]byte
	for {
		body, err := connector.ReadBody(strings.NewReader(strings.Repeat("x", size)), size, size, r.requests)
		if err != nil {
			break
		}
		held = append(held, body)
	}
	if len(held) == 0 {
		t.Fatal("no body of a request was read")
	}
	if _, err := connector.ReadBody(io.LimitReader(strings.NewReader(strings.Repeat("x", size)), size), size, size, r.answers); err != nil {
		t.Errorf("an answer failed besides %d bodies of requests: %v", len(held), err)
	}
	for _, body := range held {
		if len(body) != size {
			t.Errorf("a body has %d bytes", len(body))
		}
	}
}
