package loader

import (
	"fmt"
	"time"

	"jujubegate.example/jujubegate"
)

// definition describes one setting.
type definition struct {
	section string
	key     string
	help    string
	// field returns a pointer to the field; its type is the type of the setting.
	field func(s *Settings) any
	// defaultValue is nil if the setting is required.
	defaultValue any
	rule         rule
}

// table lists all settings in the order of the reference page.
var table = []definition{
	{
		key: "Instance", help: "name of this instance, unique in the fleet",
		field: func(s *Settings) any { return &s.Instance }, rule: simpleName(),
	},
	{
		key: "DataCentre", help: "data centre that this instance runs in",
		field: func(s *Settings) any { return &s.DataCentre }, rule: simpleName(),
	},
	{
		key: "PeerAddress", help: "address for other instances; listened on and announced",
		field: func(s *Settings) any { return &s.PeerAddress }, rule: reachableAddress(),
	},
	{
		key: "CallerAddress", help: "address for callers and operators; listened on and announced",
		field: func(s *Settings) any { return &s.CallerAddress }, rule: reachableAddress(),
	},
	{
		key: "FatalChecks", help: "panic when an invariant is violated; for tests",
		field: func(s *Settings) any { return &s.FatalChecks }, defaultValue: false,
	},
	{
		section: "Store", key: "Addresses", help: "addresses of the object API, the first one preferred",
		field: func(s *Settings) any { return &s.Store.Addresses }, rule: addresses(1),
	},
	{
		section: "Store", key: "Timeout", help: "time for one call to one address; a watch has its wait in addition",
		field: func(s *Settings) any { return &s.Store.Timeout }, defaultValue: time.Second,
		rule: inRange(10*time.Millisecond, time.Minute),
	},
	{
		section: "Store", key: "CallsPerSecond", help: "budget of calls; a call over it fails at once",
		field: func(s *Settings) any { return &s.Store.CallsPerSecond }, defaultValue: 50.0,
		rule: inRange(0.1, 2000.0),
	},
	{
		section: "Peers", key: "Seeds", help: "peer addresses to ask first, besides the platform's list",
		field: func(s *Settings) any { return &s.Peers.Seeds }, defaultValue: []string(nil), rule: addresses(0),
	},
	{
		section: "Lease", key: "Heartbeat", help: "time between heartbeats to a member",
		field: func(s *Settings) any { return &s.Lease.Heartbeat }, defaultValue: 500 * time.Millisecond,
		rule: inRange(10*time.Millisecond, 10*time.Second),
	},
	{
		section: "Lease", key: "Suspect", help: "time without an answer after which a member is suspected; at least 2 heartbeats",
		field: func(s *Settings) any { return &s.Lease.Suspect }, defaultValue: 2 * time.Second,
		rule: inRange(20*time.Millisecond, time.Minute),
	},
	{
		section: "Lease", key: "Duration", help: "validity of the serving lease, the same on all instances; at least 2 heartbeats",
		field: func(s *Settings) any { return &s.Lease.Duration }, defaultValue: 3 * time.Second,
		rule: inRange(20*time.Millisecond, time.Minute),
	},
	{
		section: "Limits", key: "MaxBodyBytes", help: "largest body of a request in bytes",
		field: func(s *Settings) any { return &s.Limits.MaxBodyBytes }, defaultValue: 1 << 20,
		rule: inRange(1<<10, 64<<20),
	},
	{
		section: "Limits", key: "MaxRows", help: "largest number of rows in an answer",
		field: func(s *Settings) any { return &s.Limits.MaxRows }, defaultValue: 10_000,
		rule: inRange(1, 1_000_000),
	},
	{
		section: "Limits", key: "MaxQueriesInFlight", help: "largest number of queries that this instance is the root of at once",
		field: func(s *Settings) any { return &s.Limits.MaxQueriesInFlight }, defaultValue: 1024,
		rule: inRange(1, 100_000),
	},
	{
		section: "Limits", key: "AnswerMemoryBytes", help: "bytes of large answers of targets that are held at once; further ones fail",
		field: func(s *Settings) any { return &s.Limits.AnswerMemoryBytes }, defaultValue: 64 << 20,
		rule: inRange(8<<20, 4<<30),
	},
	{
		section: "Limits", key: "ClientMemoryBytes", help: "bytes of requests of callers and of messages of other instances that are held at once, copies included; further ones are refused; at least 16 times `MaxBodyBytes`",
		field: func(s *Settings) any { return &s.Limits.ClientMemoryBytes }, defaultValue: 96 << 20,
		rule: inRange(1<<20, 16<<30),
	},
	{
		section: "Limits", key: "MaxConnections", help: "accepted connections of each of the two ports, but at most three eighths of the descriptors of the process; those that can best be spared are closed for new ones",
		field: func(s *Settings) any { return &s.Limits.MaxConnections }, defaultValue: 4096,
		rule: inRange(16, 1_000_000),
	},
	{
		section: "Lookup", key: "ValidFor", help: "time for which callers may use looked-up addresses",
		field: func(s *Settings) any { return &s.Lookup.ValidFor }, defaultValue: 30 * time.Second,
		rule: inRange(time.Second, 10*time.Minute),
	},
	{
		section: "Log", key: "Level", help: "lowest level that is logged",
		field: func(s *Settings) any { return &s.Log.Level }, defaultValue: "info",
		rule: oneOf("debug", "info", "warn", "error"),
	},
}

// path returns the name of the setting with its section.
func (d definition) path() string { return joinPath(d.section, d.key) }

// assign sets the field; the value has the type of the field.
func (d definition) assign(s *Settings, value any) {
	switch f := d.field(s).(type) {
	case *string:
		*f = value.(string)
	case *jujubegate.Instance:
		*f = jujubegate.Instance(value.(string))
	case *jujubegate.DataCentre:
		*f = jujubegate.DataCentre(value.(string))
	case *bool:
		*f = value.(bool)
	case *int:
		*f = value.(int)
	case *float64:
		*f = value.(float64)
	case *time.Duration:
		*f = value.(time.Duration)
	case *[]string:
		*f = value.([]string)
	default:
		panic(fmt.Sprintf("setting %s has unsupported type %T", d.path(), f))
	}
}

// typeName returns the name of the type on the reference page and in findings.
func (d definition) typeName() string {
	switch d.field(&Settings{}).(type) {
	case *bool:
		return "boolean"
	case *int:
		return "integer"
	case *float64:
		return "number"
	case *time.Duration:
		return "duration"
	case *[]string:
		return "list of strings"
	default:
		return "string"
	}
}

// findDefinition returns the definition of the setting with the path.
func findDefinition(path string) (definition, bool) {
	for _, d := range table {
		if d.path() == path {
			return d, true
		}
	}
	return definition{}, false
}

// isSection reports whether the path names a section.
func isSection(path string) bool {
	for _, d := range table {
		if d.section == path && path != "" {
			return true
		}
	}
	return false
}

func joinPath(section, key string) string {
	if section == "" {
		return key
	}
	return section + "." + key
}
