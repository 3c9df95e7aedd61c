package abuse

import (
	"bytes"
	"compress/gzip"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"jujubegate.example/jujubegate/platform/standin"
)

const (
	// headerLimit and bodyLimit are the limits of the stand-in's configuration in bytes.
	headerLimit = 16384
	bodyLimit   = 65536
	// oversizedHead is the size of a head beyond the limit, but less than net/http accepts.
	oversizedHead = 60 << 10
	// silentClients is more than the descriptors of the daemon, headClients are fewer.
	silentClients = 1600
	headClients   = 1000
	// messageClients are the clients that send messages of peers.
	messageClients = 100
)

// ports of jujubenode.
type nodePorts struct{ callers, ready, lookup, peers, metrics string }

// startNode starts a jujubenode with a stand-in platform.
func startNode(t *testing.T) (*daemon, nodePorts) {
	t.Helper()
	p, err := standin.NewPlatform(2, 2, standin.Behaviour{Work: time.Millisecond, Slots: 40})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(p.Close)
	free, err := standin.FreePorts(5)
	if err != nil {
		t.Fatal(err)
	}
	address := func(i int) string { return fmt.Sprintf("127.0.0.1:%d", free[i]) }
	ports := nodePorts{address(0), address(1), address(2), address(3), address(4)}
	text := standin.Settings("entry-0", "zone-0", p.Address, [5]int(free), []string{ports.peers})
	text = strings.Replace(text, "MemoryMB = 284", fmt.Sprintf("MemoryMB = %d", memoryBytes>>20), 1)
	settings := filepath.Join(t.TempDir(), "node.toml")
	if err := os.WriteFile(settings, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	d := startLimited(t, "jujubenode", "--settings", settings)
	sent := 0
	d.ask = func() error {
		sent++
		return askNode(ports.callers, fmt.Sprintf("ordinary-%d", sent))
	}
	return d, ports
}

// askNode sends one ordinary request to a jujubenode.
func askNode(address, id string) error {
	request, err := standin.NewRequest(http.MethodGet, address, standin.LookupPath+id, id, 1500, http.NoBody)
	if err != nil {
		return err
	}
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}, Timeout: 3 * time.Second}
	answer, err := client.Do(request)
	if err != nil {
		return err
	}
	body, err := readBody(answer)
	if err != nil {
		return err
	}
	return standin.CheckSingle(id, answer.Header, body)
}

// head returns the head of a request as callers send it, without the length of a body and
// the empty line at its end.
func head(method, path string) string {
	request, err := standin.NewRequest(method, "127.0.0.1", path, "abuse", 1500, http.NoBody)
	if err != nil {
		panic(err)
	}
	var text bytes.Buffer
	// A write to a buffer does not fail.
	_ = request.Write(&text)
	return strings.TrimSuffix(strings.Replace(text.String(), "Content-Length: 0\r\n", "", 1), "\r\n")
}

// fields returns header fields of some bytes in total.
func fields(size int, field func(n int) string) string {
	var text strings.Builder
	for n := 0; text.Len() < size; n++ {
		text.WriteString(field(n))
	}
	return text.String()
}

func sameField(int) string { return "x: y\r\n" }

func otherField(n int) string { return fmt.Sprintf("x%d:y\r\n", n) }

// playCallers plays a crowd at the port for callers.
func playCallers(t *testing.T, c crowd) {
	t.Helper()
	d, ports := startNode(t)
	play(t, d, ports.callers, c)
}

func TestSilentCallers(t *testing.T) {
	playCallers(t, crowd{connections: silentClients})
}

func TestEndlessRequestLine(t *testing.T) {
	playCallers(t, crowd{connections: headClients, greeting: []byte("GET /"), repeated: repeat("x")})
}

func TestEndlessHeaderField(t *testing.T) {
	playCallers(t, crowd{connections: headClients, greeting: []byte(head("GET", standin.LookupPath) + "X-Long: "), repeated: repeat("x")})
}

func TestEndlessHeaderFields(t *testing.T) {
	playCallers(t, crowd{connections: headClients, greeting: []byte(head("GET", standin.LookupPath)), repeated: repeat("x: y\r\n")})
}

func TestEndlessEmptyLines(t *testing.T) {
	playCallers(t, crowd{connections: headClients, repeated: repeat("\r\n")})
}

func TestOversizedHeaderField(t *testing.T) {
	long := "X-Long: " + strings.Repeat("x", oversizedHead)
	playCallers(t, crowd{connections: headClients, greeting: []byte(head("GET", standin.LookupPath) + long)})
}

func TestOversizedHeadOfOneName(t *testing.T) {
	playCallers(t, crowd{connections: headClients, greeting: []byte(head("GET", standin.LookupPath) + fields(oversizedHead, sameField))})
}

func TestOversizedHeadOfManyNames(t *testing.T) {
	playCallers(t, crowd{connections: headClients, greeting: []byte(head("GET", standin.LookupPath) + fields(oversizedHead, otherField))})
}

func TestUnfinishedHeadOfManyNames(t *testing.T) {
	start := head("GET", standin.LookupPath)
	playCallers(t, crowd{connections: headClients, greeting: []byte(start + fields(headerLimit-len(start)-32, otherField))})
}

func TestLargeHeadWithoutItsBody(t *testing.T) {
	start := head("POST", standin.LookupPath) + "Content-Length: 1000\r\n"
	playCallers(t, crowd{connections: headClients, greeting: []byte(start + fields(headerLimit-len(start)-32, otherField) + "\r\n")})
}

func TestUnfinishedBody(t *testing.T) {
	start := head("POST", standin.LookupPath) + fmt.Sprintf("Content-Length: %d\r\n\r\n", bodyLimit)
	playCallers(t, crowd{connections: headClients, greeting: []byte(start + strings.Repeat("x", bodyLimit-1))})
}

func TestBodyOfUnknownRouteNeverComes(t *testing.T) {
	playCallers(t, crowd{connections: silentClients, greeting: []byte(head("POST", "/unknown/") + "Content-Length: 1000\r\n\r\n")})
}

func TestEndlessChunks(t *testing.T) {
	start := head("POST", standin.LookupPath) + "Transfer-Encoding: chunked\r\n\r\n"
	playCallers(t, crowd{connections: headClients, greeting: []byte(start), repeated: repeat("1\r\nx\r\n")})
}

func TestEndlessChunkExtensions(t *testing.T) {
	start := head("POST", standin.LookupPath) + "Transfer-Encoding: chunked\r\n\r\n"
	playCallers(t, crowd{connections: headClients, greeting: []byte(start), repeated: repeat("1;a=" + strings.Repeat("b", 2000) + "\r\nx\r\n")})
}

func TestEndlessTrailer(t *testing.T) {
	start := head("POST", standin.LookupPath) + "Transfer-Encoding: chunked\r\n\r\n0\r\n"
	playCallers(t, crowd{connections: headClients, greeting: []byte(start), repeated: repeat("x: y\r\n")})
}

func TestAnswersThatAreNotRead(t *testing.T) {
	request := head("GET", standin.LookupPath) + "\r\n"
	playCallers(t, crowd{connections: silentClients, greeting: []byte(request), repeated: repeat(request), deaf: true})
}

func TestEndlessExpectations(t *testing.T) {
	request := head("POST", standin.LookupPath) + "Expect: 100-continue\r\nContent-Length: 1000\r\n\r\n"
	playCallers(t, crowd{connections: headClients, greeting: []byte(request)})
}

func TestEndlessUpgrades(t *testing.T) {
	request := head("GET", standin.LookupPath) + "Connection: Upgrade, HTTP2-Settings\r\nUpgrade: h2c\r\nHTTP2-Settings: AAMAAABkAARAAAAAAAIAAAAA\r\n\r\n"
	playCallers(t, crowd{connections: headClients, greeting: []byte("PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n"), repeated: repeat(request)})
}

// playPorts plays a crowd at each port that is not for callers, at all of them at once.
func playPorts(t *testing.T, clients int, c crowd) {
	t.Helper()
	d, ports := startNode(t)
	d.expectAnswer(t, "before the crowd")
	c.connections = clients / 4
	var crowds []*runningCrowd
	for _, address := range []string{ports.ready, ports.lookup, ports.peers, ports.metrics} {
		crowds = append(crowds, c.start(address))
	}
	d.observe(crowdTime)
	d.expectAnswer(t, "during the crowd")
	d.expectPort(t, "http://"+ports.ready+"/readiness")
	d.expectPort(t, "http://"+ports.metrics+"/debug/vars")
	for _, running := range crowds {
		running.stop()
	}
	d.expectAnswer(t, "after the crowd")
	d.check(t)
}

// expectPort fails the test unless a port answers.
func (d *daemon) expectPort(t *testing.T, url string) {
	t.Helper()
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}, Timeout: 3 * time.Second}
	var err error
	for start := time.Now(); d.lives() && time.Since(start) < answerTimeout; time.Sleep(attemptPause) {
		var answer *http.Response
		if answer, err = client.Get(url); err == nil {
			answer.Body.Close()
			if answer.StatusCode == http.StatusOK {
				return
			}
		}
	}
	t.Errorf("%s does not answer: %v", url, err)
}

func TestSilentClientsOfOtherPorts(t *testing.T) {
	playPorts(t, silentClients, crowd{})
}

func TestOversizedHeadsOfOtherPorts(t *testing.T) {
	playPorts(t, silentClients, crowd{greeting: []byte("GET /readiness HTTP/1.1\r\nHost: x\r\n" + fields(18<<10, otherField))})
}

func TestAnswersOfOtherPortsThatAreNotRead(t *testing.T) {
	request := "GET /debug/vars HTTP/1.1\r\nHost: x\r\n\r\n"
	playPorts(t, silentClients, crowd{greeting: []byte(request), repeated: repeat(request), deaf: true})
}

// exchangePath is the path of the messages between instances.
const exchangePath = "/jujubegate.wire.Gossip/Exchange"

func peerMessage(header string, length int) string {
	return fmt.Sprintf("POST %s HTTP/1.1\r\nHost: x\r\nContent-Type: application/proto\r\n%sContent-Length: %d\r\n\r\n", exchangePath, header, length)
}

func TestUnfinishedPeerMessage(t *testing.T) {
	d, ports := startNode(t)
	play(t, d, ports.peers, crowd{connections: messageClients, greeting: []byte(peerMessage("", 31<<20) + strings.Repeat("x", 4<<20))})
}

// compressedPeerMessage is a message that is small on the wire and as large as one may be.
func compressedPeerMessage(t *testing.T) []byte {
	t.Helper()
	var message bytes.Buffer
	w := gzip.NewWriter(&message)
	// A field of unknown number that is as long as a message may be.
	if _, err := w.Write(append([]byte{0xfa, 0x7f, 0x80, 0x80, 0x80, 0x0f}, make([]byte, 30<<20)...)); err != nil {
		t.Fatal(err)
	}
	if err := w.Close(); err != nil {
		t.Fatal(err)
	}
	return append([]byte(peerMessage("Content-Encoding: gzip\r\n", message.Len())), message.Bytes()...)
}

func TestCompressedPeerMessage(t *testing.T) {
	d, ports := startNode(t)
	play(t, d, ports.peers, crowd{connections: messageClients, greeting: compressedPeerMessage(t)})
}

func TestCrowdsOfAllKinds(t *testing.T) {
	// Guards against bounds that hold for each kind of client but not for all of them
	// together.
	const clients = 300
	d, ports := startNode(t)
	d.expectAnswer(t, "before the crowds")
	start, body := head("GET", standin.LookupPath), head("POST", standin.LookupPath)
	vars := "GET /debug/vars HTTP/1.1\r\nHost: x\r\n\r\n"
	crowds := []struct {
		address string
		crowd
	}{
		{ports.callers, crowd{connections: clients}},
		{ports.callers, crowd{connections: clients, greeting: []byte(start + fields(headerLimit-len(start)-32, otherField))}},
		{ports.callers, crowd{connections: clients, greeting: []byte(start + fields(oversizedHead, otherField))}},
		{ports.callers, crowd{connections: clients, greeting: []byte(body + fmt.Sprintf("Content-Length: %d\r\n\r\n", bodyLimit) + strings.Repeat("x", bodyLimit-1))}},
		{ports.callers, crowd{connections: clients, greeting: []byte(start + "\r\n"), repeated: repeat(start + "\r\n"), deaf: true}},
		{ports.peers, crowd{connections: messageClients, greeting: []byte(peerMessage("", 31<<20) + strings.Repeat("x", 4<<20))}},
		{ports.peers, crowd{connections: messageClients, greeting: compressedPeerMessage(t)}},
		{ports.metrics, crowd{connections: clients, greeting: []byte(vars), repeated: repeat(vars), deaf: true}},
		{ports.lookup, crowd{connections: clients, greeting: []byte("GET / HTTP/1.1\r\n" + fields(16<<10, otherField))}},
	}
	var running []*runningCrowd
	for _, c := range crowds {
		running = append(running, c.start(c.address))
	}
	d.observe(crowdTime)
	d.expectAnswer(t, "during the crowds")
	d.observe(0)
	for _, r := range running {
		r.stop()
	}
	d.expectAnswer(t, "after the crowds")
	d.check(t)
}

func TestSlowRequestInsideTheLimits(t *testing.T) {
	// Guards against bounds that a client meets which keeps to the limits of the
	// configuration: a head of nearly the limit in pieces, and an idle time of four fifths of
	// the limit between two requests.
	const idleLimit, headerTime = 20 * time.Second, 5 * time.Second
	d, ports := startNode(t)
	d.expectAnswer(t, "before")
	conn, err := net.Dial("tcp", ports.callers)
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	if err := conn.SetReadDeadline(time.Now().Add(answerTimeout)); err != nil {
		t.Fatal(err)
	}
	start := head("GET", standin.LookupPath+"slow")
	request := start + fields(headerLimit-len(start)-32, otherField) + "\r\n"
	for round := range 2 {
		const pieces = 8
		for i := range pieces {
			if _, err := io.WriteString(conn, request[i*len(request)/pieces:(i+1)*len(request)/pieces]); err != nil {
				t.Fatal(err)
			}
			time.Sleep(headerTime * 3 / 5 / pieces)
		}
		if err := readAnswer(conn); err != nil {
			t.Fatalf("request %d: %v", round, err)
		}
		if round == 0 {
			time.Sleep(idleLimit * 4 / 5)
		}
	}
	d.check(t)
}
