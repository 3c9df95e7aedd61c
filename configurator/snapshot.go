package configurator

import (
	"errors"
	"strings"
	"time"

	"jujubegate.example/jujubegate"
	"jujubegate.example/jujubegate/parser"
	"jujubegate.example/jujubegate/storer"
)

// Statements returns a list of statements from which Restore rebuilds the
// same configuration.
func (c Configuration) Statements() []parser.Statement {
	list := []parser.Statement{&parser.RestoreConfiguration{Generation: parser.Given(int(c.generation))}}
	for _, s := range c.Services() {
		list = append(list, serviceStatement(s))
	}
	for _, r := range c.Routes() {
		list = append(list, &parser.DeclareRoute{
			Service: r.Service, Name: r.Name, Idempotent: parser.Given(r.Idempotent),
		})
	}
	for _, t := range c.Targets() {
		list = append(list, &parser.DeclareTarget{
			Address: t.Address, Service: parser.Given(t.Service), Shard: parser.Given(t.Shard),
			DataCentre: parser.Given(t.DataCentre), Version: parser.Given(t.Version),
		})
	}
	for _, d := range c.DataCentres() {
		if d.Out {
			list = append(list, &parser.RestoreDataCentre{
				Name: d.Name, Reason: optional(d.Reason), Since: parser.Given(d.Since),
				Until: parser.Field[time.Time]{Value: d.Until, Given: !d.Until.IsZero()},
			})
		}
	}
	for _, m := range c.Moves() {
		list = append(list, moveStatement(m))
	}
	for _, key := range c.takenBackKeys() {
		list = append(list, &parser.RestoreTakenBack{
			Name: key.Version, Service: parser.Given(key.Service), Reason: optional(c.takenBack[key]),
		})
	}
	return list
}

func serviceStatement(s ServiceSpec) parser.Statement {
	return &parser.DeclareService{
		Name: s.Name,
		ServiceFields: parser.ServiceFields{
			Shards: parser.Given(s.Shards), Slots: parser.Given(s.Slots),
			Connections: parser.Given(s.Connections), ColdLimit: parser.Given(s.ColdLimit),
			Deadline: parser.Given(s.Deadline), Priority: parser.Given(s.Priority.String()),
		},
		Version: parser.Field[jujubegate.Version]{Value: s.Version, Given: s.Version != ""},
	}
}

func moveStatement(m MoveSpec) parser.Statement {
	return &parser.RestoreVersion{
		Name: m.To, Service: parser.Given(m.Service), From: parser.Given(m.From),
		State: parser.Given(string(m.State)), Share: parser.Given(m.Share),
		Started: parser.Given(m.Started), Deadline: parser.Given(m.Deadline),
		OnMissed: parser.Given(string(m.OnMissed)), Reason: optional(m.Reason),
	}
}

func optional(text string) parser.Field[string] {
	return parser.Field[string]{Value: text, Given: text != ""}
}

// maxSnapshotText is the largest statement list of a snapshot, in bytes.
const maxSnapshotText = 2 * storer.MaxValueSize

// Restore rebuilds a configuration from a text of Statements, and returns
// the tokens of the changes that the text names.
func Restore(text string) (Configuration, map[string]jujubegate.Generation, error) {
	batch, findings := parser.ParseWithLimit(snapshotKey, text, maxSnapshotText)
	if len(findings) > 0 {
		return Configuration{}, nil, findings
	}
	if !isSnapshotText(text) {
		return Configuration{}, nil, errors.New("configuration snapshot does not begin with Restore Configuration")
	}
	d := newDraft(Configuration{}, time.Time{})
	tokens := make(map[string]jujubegate.Generation)
	for _, s := range batch {
		d.restore(s, tokens)
	}
	if len(d.findings) > 0 {
		return Configuration{}, nil, d.findings
	}
	c := d.Configuration
	c.serving = c.indexServing()
	return c, tokens, nil
}

// isSnapshotText reports whether a text is a snapshot. Proposals never begin
// like this, because Apply refuses Restore statements.
func isSnapshotText(text string) bool { return strings.HasPrefix(text, "Restore Configuration ") }

// restore applies one statement of a snapshot.
func (d *draft) restore(s parser.Statement, tokens map[string]jujubegate.Generation) {
	switch s := s.(type) {
	case *parser.RestoreConfiguration:
		d.generation = jujubegate.Generation(s.Generation.Value)
	case *parser.RestoreDataCentre:
		d.dataCentres[s.Name] = DataCentreSpec{
			Name: s.Name, Out: true, Reason: s.Reason.Value, Until: s.Until.Value, Since: s.Since.Value,
		}
	case *parser.RestoreVersion:
		d.moves[s.Service.Value] = MoveSpec{
			Service: s.Service.Value, From: s.From.Value, To: s.Name, State: MoveState(s.State.Value),
			Share: s.Share.Value, Started: s.Started.Value, Deadline: s.Deadline.Value,
			OnMissed: OnMissed(s.OnMissed.Value), Reason: s.Reason.Value,
		}
	case *parser.RestoreTakenBack:
		d.takenBack[VersionKey{s.Service.Value, s.Name}] = s.Reason.Value
	case *parser.RestoreToken:
		tokens[s.Token] = jujubegate.Generation(s.Generation.Value)
	default:
		d.statement(s)
	}
}
