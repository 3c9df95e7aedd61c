package commander

import (
	"bytes"
	"context"
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"testing"

	"github.com/jonboulle/clockwork"
	. "github.com/smartystreets/goconvey/convey"
	"go.uber.org/zap"

	"jujubegate.example/jujubegate/configurator"
	"jujubegate.example/jujubegate/storer"
)

const service = "Declare Service Desk { Shards = 2; Slots = 2; Connections = 25; ColdLimit = 1; Deadline = 160ms; };"

// newStore returns an object API in memory; fail decides the error of a write.
func newStore(fail func() error) storer.Store {
	var mutex sync.Mutex
	objects := map[string]storer.Object{}
	return storer.Store{
		Get: func(_ context.Context, key string) (storer.Object, error) {
			mutex.Lock()
			defer mutex.Unlock()
			if o, ok := objects[key]; ok {
				return o, nil
			}
			return storer.Object{}, storer.ErrNotFound
		},
		Put: func(_ context.Context, key string, value []byte, version int64) (storer.Object, error) {
			mutex.Lock()
			defer mutex.Unlock()
			if err := fail(); err != nil {
				return storer.Object{}, err
			}
			if objects[key].Version != version {
				return storer.Object{}, storer.ErrConflict
			}
			objects[key] = storer.Object{Key: key, Version: int64(len(objects) + 1), Value: value}
			return objects[key], nil
		},
		List: func(_ context.Context, prefix, after string, _ int) ([]storer.Object, error) {
			mutex.Lock()
			defer mutex.Unlock()
			var list []storer.Object
			for _, o := range objects {
				if strings.HasPrefix(o.Key, prefix) && o.Key > after {
					list = append(list, o)
				}
			}
			slices.SortFunc(list, func(a, b storer.Object) int { return strings.Compare(a.Key, b.Key) })
			return list, nil
		},
	}
}

// newServer returns an entry instance that serves the operators' interface.
func newServer(fail func() error, inForce InForce) *httptest.Server {
	f := configurator.New(newStore(fail), clockwork.NewRealClock(), zap.NewNop())
	mux := http.NewServeMux()
	mux.HandleFunc("POST "+StatementsPath, func(w http.ResponseWriter, r *http.Request) {
		var request Request
		if err := json.NewDecoder(r.Body).Decode(&request); err != nil {
			http.Error(w, err.Error(), http.StatusBadRequest)
			return
		}
		status, response := HandleRequest(r.Context(), f, request, func() [][]string {
			return [][]string{{"a", "Sliven", "127.0.0.1:1", "Serving", "1", "1", "40", "0"}}
		})
		w.WriteHeader(status)
		_ = json.NewEncoder(w).Encode(response)
	})
	mux.HandleFunc("GET "+InForcePath, func(w http.ResponseWriter, _ *http.Request) {
		_ = json.NewEncoder(w).Encode(inForce)
	})
	return httptest.NewServer(mux)
}

func TestRunCommand(t *testing.T) {
	// Guards against scripts that take a failure for a success, and against
	// output that hides a part of the answer.
	good := func() error { return nil }
	everywhere := InForce{InForce: true, Confirmed: []instance{"a", "b"}}
	nowhere := InForce{Confirmed: []instance{"a"}, Missing: []instance{"b"}}
	down := func() error { return storer.ErrUnavailable }
	conflict := func() error { return storer.ErrConflict }
	file := filepath.Join(t.TempDir(), "desk.jg")
	if err := os.WriteFile(file, []byte(service+" # desk"), 0o600); err != nil {
		t.Fatal(err)
	}
	cases := []struct {
		name      string
		fail      func() error
		inForce   InForce
		arguments []string
		in        string
		exit      int
		out       string
		err       string
	}{
		{"accepted", good, everywhere, []string{"run", service}, "", ExitDone, "1 statements, generation 1\n", ""},
		{"from a file", good, everywhere, []string{"run", "-f", file}, "", ExitDone, "1 statements, generation 1\n", ""},
		{"from standard input", good, everywhere, []string{"run"}, service, ExitDone, "1 statements, generation 1\n", ""},
		{
			"in force", good, everywhere,
			[]string{"run", "--wait", service},
			"", ExitDone,
			"1 statements, generation 1\ngeneration 1 is in force on 2 instances, 0 more take no new work\n", "",
		},
		{
			"not in force", good, nowhere,
			[]string{"run", "--wait", "--timeout=50ms", service},
			"", ExitNotInForce,
			"1 statements, generation 1\n", "generation 1 is not in force in time; missing: b\n",
		},
		{"dry run", good, nowhere, []string{"run", "--dry-run", "--wait", service}, "", ExitDone, "1 statements, generation 1\n", ""},
		{"findings", good, everywhere, []string{"run", "Show Frobs;\nDrop"}, "", ExitFindings, "", "<arguments>:1:1: there is no statement Show Frobs"},
		{"rule", good, everywhere, []string{"run", "Drop Service Desk;"}, "", ExitFindings, "", "<arguments>:1:1: service Desk is not declared\n"},
		{"unavailable", down, everywhere, []string{"run", service}, "", ExitUnavailable, "", "StoreUnavailable: store is unavailable"},
		{"unknown", conflict, everywhere, []string{"run", "--timeout=100ms", service}, "", ExitNotInForce, "", "OutcomeUnknown: "},
		{
			"show", good, everywhere,
			[]string{"run", service, "Show Services; Show Instances Where Instance = a;"},
			"", ExitDone,
			"Service  Shards  Slots  Connections  ColdLimit  Deadline  Priority  Version  Targets  Serving  Coverage\n" +
				"Desk     2       2      25           1          160ms     Normal    -        0        0        0.0%\n" +
				"Instance  DataCentre  Address      State    Epoch  Generation  Targets  InFlight\n" +
				"a         Sliven      127.0.0.1:1  Serving  1      1           40       0\n" +
				"1 statements, generation 1\n", "",
		},
		{"no statement", good, everywhere, []string{"run", "# none"}, "", ExitDone, "", ""},
		{"two sources", good, everywhere, []string{"run", "-f", file, service}, "", ExitUsage, "", "jujubectl: statements are given both"},
		{"no file", good, everywhere, []string{"run", "-f", file + "x"}, "", ExitUsage, "", "jujubectl: open "},
	}
	Convey("jujubectl run", t, func() {
		for _, c := range cases {
			Convey(c.name, func() {
				server := newServer(c.fail, c.inForce)
				defer server.Close()
				var out, errs bytes.Buffer
				command := NewCommand(clockwork.NewRealClock())
				command.In, command.Out, command.Err = strings.NewReader(c.in), &out, &errs
				arguments := append([]string{c.arguments[0], "--address", server.URL}, c.arguments[1:]...)
				So(command.Run(arguments), ShouldEqual, c.exit)
				So(out.String(), ShouldEqual, c.out)
				So(errs.String(), ShouldStartWith, c.err)
				So(c.err == "" && errs.Len() > 0, ShouldBeFalse)
			})
		}
		Convey("as JSON", func() {
			server := newServer(good, everywhere)
			defer server.Close()
			var out bytes.Buffer
			command := NewCommand(clockwork.NewRealClock())
			command.Out = &out
			So(command.Run([]string{"run", "-o", "json", "--wait", "-a", server.URL, service, "Show Routes;"}), ShouldEqual, ExitDone)
			var outcome Outcome
			So(json.Unmarshal(out.Bytes(), &outcome), ShouldBeNil)
			So(outcome.Generation, ShouldEqual, 1)
			So(outcome.Results, ShouldHaveLength, 2)
			So(outcome.Results[1].Columns, ShouldResemble, []string{"Service", "Route", "Idempotent"})
			So(outcome.InForce.Confirmed, ShouldHaveLength, 2)
		})
	})
}

func TestLocalCommands(t *testing.T) {
	// Guards against usage errors that look like a success.
	file := filepath.Join(t.TempDir(), "desk.jg")
	cases := []struct {
		name      string
		arguments []string
		in        string
		exit      int
		out       string
		err       string
	}{
		{"help", []string{"--help"}, "", ExitDone, "Usage:", ""},
		{"version", []string{"--version"}, "", ExitDone, "jujubectl ", ""},
		{"nothing", nil, "", ExitUsage, "", "Usage:"},
		{"unknown command", []string{"frob"}, "", ExitUsage, "", "jujubectl: there is no command \"frob\"\n"},
		{"unknown option", []string{"run", "--frob"}, "", ExitUsage, "", "unknown flag `frob'"},
		{"unknown output", []string{"run", "-o", "xml"}, "", ExitUsage, "", "Invalid value `xml'"},
		{"no address", []string{"run", "Show Services;"}, "", ExitUsage, "", "jujubectl: no --address is given\n"},
		{"check", []string{"check"}, "Show Services; Show Routes;", ExitDone, "2 statements, no findings\n", ""},
		{
			"check with findings",
			[]string{"check", "Show Frobs;", "Frob A;"},
			"", ExitFindings, "",
			"<arguments>:1:1: there is no statement Show Frobs",
		},
		{"check as JSON", []string{"check", "-o", "json", "Frob A;"}, "", ExitFindings, "{\n  \"Findings\": [\n    {\n      \"File\"", ""},
		{"format", []string{"format"}, "Show  Services;# a", ExitDone, "Show Services; # a\n", ""},
		{"format with findings", []string{"format", "Frob A;"}, "", ExitFindings, "", "<arguments>:1:1: no statement begins with Frob\n"},
		{"format without a file", []string{"format", "-w"}, "", ExitUsage, "", "jujubectl: --write needs --file\n"},
		{"format a file", []string{"format", "-w", "-f", file}, "", ExitDone, "", ""},
		{"completion", []string{"completion", "bash"}, "", ExitDone, "_jujubectl() {", ""},
		{"completion of another shell", []string{"completion", "fish"}, "", ExitUsage, "", "jujubectl: no completion for shell"},
		{"completion without a shell", []string{"completion"}, "", ExitUsage, "", "the required argument"},
	}
	Convey("jujubectl", t, func() {
		for _, c := range cases {
			Convey(c.name, func() {
				So(os.WriteFile(file, []byte("Show Services;;"), 0o600), ShouldBeNil)
				var out, errs bytes.Buffer
				command := NewCommand(clockwork.NewRealClock())
				command.In, command.Out, command.Err = strings.NewReader(c.in), &out, &errs
				So(command.Run(c.arguments), ShouldEqual, c.exit)
				So(out.String(), ShouldStartWith, c.out)
				So(errs.String(), ShouldStartWith, c.err)
			})
		}
		Convey("format replaces the file", func() {
			So(os.WriteFile(file, []byte("Show Services;;"), 0o600), ShouldBeNil)
			So(NewCommand(clockwork.NewRealClock()).Run([]string{"format", "-w", "-f", file}), ShouldEqual, ExitDone)
			content, err := os.ReadFile(file)
			So(err, ShouldBeNil)
			So(string(content), ShouldEqual, "Show Services;\n")
		})
	})
}
