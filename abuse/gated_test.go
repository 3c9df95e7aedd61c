package abuse

import (
	"bytes"
	"context"
	"fmt"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"golang.org/x/net/http2"
	"golang.org/x/net/http2/hpack"

	"jujubegate.example/jujubegate/asker"
	"jujubegate.example/jujubegate/launcher"
)

const (
	// gatedMemoryBytes bounds jujubegated, whose messages and answers may be larger than
	// those of jujubenode.
	gatedMemoryBytes = 284 << 20
	// gatedHeadClients send heads to the port for callers, gatedPeerClients send messages or
	// heads to the one for instances.
	gatedHeadClients = 1200
	gatedPeerClients = 16
	// gatedMessageBytes is what each peer sends of a message.
	gatedMessageBytes = 40 << 20
	// gatedStreams is the number of streams that each peer opens.
	gatedStreams = 300
)

// startGated starts a jujubegated with its stand-ins and returns its ports.
func startGated(t *testing.T) (d *daemon, callers, peers string) {
	t.Helper()
	// The launcher runs the programs by their names; the one of the daemon is replaced by a
	// script that limits its descriptors.
	directory := t.TempDir()
	for _, name := range []string{"platformstandin", "targetstandin", "jujubectl"} {
		if err := os.Symlink(filepath.Join(programs, name), filepath.Join(directory, name)); err != nil {
			t.Fatal(err)
		}
	}
	script := fmt.Sprintf("#!/bin/sh\nulimit -n %d && exec %q \"$@\"\n", descriptors, filepath.Join(programs, "jujubegated"))
	if err := os.WriteFile(filepath.Join(directory, "jujubegated"), []byte(script), 0o700); err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
	defer cancel()
	l := launcher.New(directory, t.TempDir())
	t.Cleanup(l.KillAll)
	spec := launcher.DispatchDesk()
	spec.Shards, spec.Instances = 2, 1
	f, err := l.StartFleet(ctx, spec)
	if err != nil {
		t.Fatal(err)
	}
	if err := f.RunStatements(ctx, f.Declarations()); err != nil {
		t.Fatal(err)
	}
	process := f.Daemons[0]
	d = &daemon{pid: process.PID(), exited: process.Exited(), memory: gatedMemoryBytes, output: process.Output}
	d.ask = func() error { return askGated(f.CallerAddresses[0], spec.Target.Service) }
	return d, f.CallerAddresses[0], f.PeerAddresses[0]
}

// askGated sends one query to a jujubegated.
func askGated(address, service string) error {
	request := fmt.Sprintf(`{"Service": %q, "Route": "Search", "Body": {"Text": "stove"}}`, service)
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}, Timeout: 3 * time.Second}
	answer, err := client.Post("http://"+address+asker.QueryPath, "application/json", strings.NewReader(request))
	if err != nil {
		return err
	}
	_, err = readBody(answer)
	return err
}

func gatedHead(path string) string {
	return "POST " + path + " HTTP/1.1\r\nHost: x\r\nContent-Type: application/json\r\n"
}

func TestGatedSilentCallers(t *testing.T) {
	d, callers, _ := startGated(t)
	play(t, d, callers, crowd{connections: silentClients})
}

func TestGatedSilentPeers(t *testing.T) {
	d, _, peers := startGated(t)
	play(t, d, peers, crowd{connections: silentClients})
}

func TestGatedUnfinishedHeadOfManyNames(t *testing.T) {
	d, callers, _ := startGated(t)
	play(t, d, callers, crowd{connections: gatedHeadClients, greeting: []byte(gatedHead(asker.QueryPath) + fields(18<<10, otherField))})
}

func TestGatedEndlessHeaderField(t *testing.T) {
	d, callers, _ := startGated(t)
	play(t, d, callers, crowd{connections: gatedHeadClients, greeting: []byte(gatedHead(asker.QueryPath) + "X-Long: "), repeated: repeat("x")})
}

func TestGatedUnfinishedBody(t *testing.T) {
	d, callers, _ := startGated(t)
	start := gatedHead(asker.QueryPath) + "Content-Length: 1000000\r\n\r\n"
	play(t, d, callers, crowd{connections: gatedHeadClients, greeting: []byte(start + `{"Service": "` + strings.Repeat("x", 900_000))})
}

func TestGatedAnswersThatAreNotRead(t *testing.T) {
	d, callers, _ := startGated(t)
	request := "GET /debug/vars HTTP/1.1\r\nHost: x\r\n\r\n"
	play(t, d, callers, crowd{connections: silentClients, greeting: []byte(request), repeated: repeat(request), deaf: true})
}

// framesTo writes HTTP/2 frames to a buffer that is sent as they are.
func framesTo(write func(*http2.Framer)) []byte {
	var frames bytes.Buffer
	frames.WriteString(http2.ClientPreface)
	framer := http2.NewFramer(&frames, nil)
	// Writes to a buffer do not fail.
	_ = framer.WriteSettings()
	write(framer)
	return frames.Bytes()
}

// openStream writes the head of a call to the service of peers, with additional fields.
func openStream(framer *http2.Framer, stream uint32, extra func(*hpack.Encoder)) {
	var block bytes.Buffer
	encoder := hpack.NewEncoder(&block)
	for _, f := range []hpack.HeaderField{
		{Name: ":method", Value: http.MethodPost},
		{Name: ":scheme", Value: "http"},
		{Name: ":authority", Value: "x"},
		{Name: ":path", Value: "/jujubegate.wire.Peer/Heartbeat"},
		{Name: "content-type", Value: "application/proto"},
	} {
		_ = encoder.WriteField(f)
	}
	extra(encoder)
	const frameBytes = 16 << 10
	rest := block.Bytes()
	for first := true; first || len(rest) > 0; first = false {
		n := min(len(rest), frameBytes)
		if first {
			_ = framer.WriteHeaders(http2.HeadersFrameParam{StreamID: stream, BlockFragment: rest[:n], EndHeaders: n == len(rest)})
		} else {
			_ = framer.WriteContinuation(stream, n == len(rest), rest[:n])
		}
		rest = rest[n:]
	}
}

func TestGatedUnfinishedPeerHeads(t *testing.T) {
	d, _, peers := startGated(t)
	greeting := framesTo(func(framer *http2.Framer) {
		for stream := range uint32(gatedStreams) {
			openStream(framer, 2*stream+1, func(encoder *hpack.Encoder) {
				for n := range 500 {
					_ = encoder.WriteField(hpack.HeaderField{Name: fmt.Sprintf("x-%d", n), Value: strings.Repeat("y", 100), Sensitive: true})
				}
			})
		}
	})
	play(t, d, peers, crowd{connections: gatedPeerClients, greeting: greeting})
}

func TestGatedUnfinishedPeerMessages(t *testing.T) {
	d, _, peers := startGated(t)
	d.expectAnswer(t, "before the crowd")
	stop := make(chan struct{})
	done := make(chan struct{}, gatedPeerClients)
	for range gatedPeerClients {
		go func() {
			defer func() { done <- struct{}{} }()
			sendUnfinishedMessages(peers, stop)
		}()
	}
	d.observe(crowdTime)
	d.expectAnswer(t, "during the crowd")
	close(stop)
	for range gatedPeerClients {
		<-done
	}
	d.expectAnswer(t, "after the crowd")
	d.check(t)
}

// unfinishedBody is a body of a number of bytes that then does not end until it is closed.
type unfinishedBody struct {
	left int
	stop <-chan struct{}
}

func (b *unfinishedBody) Read(p []byte) (int, error) {
	if b.left == 0 {
		<-b.stop
		return 0, net.ErrClosed
	}
	n := min(len(p), b.left)
	clear(p[:n])
	b.left -= n
	return n, nil
}

func (b *unfinishedBody) Close() error { return nil }

// sendUnfinishedMessages sends messages over HTTP/2 that do not end.
func sendUnfinishedMessages(address string, stop <-chan struct{}) {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	go func() {
		<-stop
		cancel()
	}()
	var protocols http.Protocols
	protocols.SetUnencryptedHTTP2(true)
	for ctx.Err() == nil {
		transport := &http.Transport{Protocols: &protocols}
		request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+address+"/jujubegate.wire.Peer/Heartbeat", &unfinishedBody{gatedMessageBytes, stop})
		if err != nil {
			panic(err)
		}
		request.Header.Set("Content-Type", "application/proto")
		if answer, err := transport.RoundTrip(request); err == nil {
			answer.Body.Close()
		}
		transport.CloseIdleConnections()
		time.Sleep(reconnectPause)
	}
}
