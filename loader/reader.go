package loader

import (
	"errors"
	"fmt"
	"slices"
	"strconv"
	"strings"

	"github.com/pelletier/go-toml/v2"
	"github.com/pelletier/go-toml/v2/unstable"
	"jujubegate.example/jujubegate"
)

// reader collects settings and findings. It walks over the syntax tree, since
// decoding into a struct stops at the first wrong type.
type reader struct {
	file     string
	settings *Settings
	findings jujubegate.Findings
	parser   unstable.Parser
	// values holds the place of each setting that was read, sections that of
	// each section header.
	values   map[string]jujubegate.Position
	sections map[string]jujubegate.Position
}

func (r *reader) read(data []byte) {
	r.parser.Reset(data)
	section := ""
	for r.parser.NextExpression() {
		n := r.parser.Expression()
		switch n.Kind {
		case unstable.Table, unstable.ArrayTable:
			section = r.header(n)
		case unstable.KeyValue:
			r.keyValue(section, n)
		}
	}
	r.syntax(data)
}

// syntax reports a syntax error, which ends the walk, and whatever else TOML
// forbids that the walk didn't find on the same line.
func (r *reader) syntax(data []byte) {
	var values map[string]any
	var e *toml.DecodeError
	if err := toml.Unmarshal(data, &values); errors.As(err, &e) {
		line, column := e.Position()
		position := jujubegate.Position{File: r.file, Line: line, Column: column}
		known := slices.ContainsFunc(r.findings, func(f jujubegate.Finding) bool { return f.Position.Line == line })
		if !known {
			r.add(position, "%s", strings.TrimPrefix(e.Error(), "toml: "))
		}
	} else if err != nil {
		r.add(r.start(), "%s", err)
	}
}

// header returns the path of a section.
func (r *reader) header(n *unstable.Node) string {
	path, position := r.key("", n.Key())
	first, twice := r.sections[path]
	switch {
	case n.Kind == unstable.ArrayTable:
		r.add(position, "%s must be a section [%s], not a list of sections", path, path)
	case !isSection(path):
		r.add(position, "section %s is unknown", path)
	case twice:
		r.add(position, "section %s is already at line %d", path, first.Line)
	default:
		r.sections[path] = position
	}
	return path
}

// key returns the path and the place of a possibly dotted key.
func (r *reader) key(section string, parts unstable.Iterator) (string, jujubegate.Position) {
	path := section
	var position jujubegate.Position
	for parts.Next() {
		n := parts.Node()
		if position.Line == 0 {
			position = r.position(n)
		}
		part := string(n.Data)
		if part == "" || strings.Contains(part, ".") {
			part = strconv.Quote(part)
		}
		path = join(path, part)
	}
	return path, position
}

// keyValue reads one setting, or an inline table as a section.
func (r *reader) keyValue(section string, n *unstable.Node) {
	path, position := r.key(section, n.Key())
	value := n.Value()
	d, ok := find(path)
	switch {
	case ok:
		r.setting(d, value, position)
	case isSection(path) && value.Kind == unstable.InlineTable:
		r.sections[path] = position
		for members := value.Children(); members.Next(); {
			r.keyValue(path, members.Node())
		}
	case isSection(path):
		r.add(position, "%s is a section, not %s", path, article(kindName(value.Kind)))
	case section == "" || isSection(section):
		r.add(position, "setting %s is unknown", path)
	}
}

func (r *reader) setting(d definition, value *unstable.Node, position jujubegate.Position) {
	if first, twice := r.values[d.path()]; twice {
		r.add(position, "%s is already set at line %d", d.path(), first.Line)
		return
	}
	r.values[d.path()] = position
	// Arrays have no place of their own; theirs is that of the key.
	if value.Raw.Length > 0 {
		position = r.position(value)
	}
	v, err := convert(d, value)
	if err == nil && d.rule.check != nil {
		err = d.rule.check(v)
	}
	if err != nil {
		r.add(position, "%s %s", d.path(), err)
		return
	}
	d.assign(r.settings, v)
}

// missing reports the required settings that were not read, at their section.
func (r *reader) missing() {
	for _, d := range table {
		if _, ok := r.values[d.path()]; ok || d.def != nil {
			continue
		}
		position, ok := r.sections[d.section]
		if !ok {
			position = r.start()
		}
		r.add(position, "%s is missing", d.path())
	}
}

// together checks settings that depend on each other.
func (r *reader) together() {
	l := r.settings.Lease
	if l.Suspect < 2*l.Heartbeat {
		r.add(r.at("Lease.Suspect", "Lease.Heartbeat"), "Lease.Suspect is %v, less than 2 heartbeats of %v", l.Suspect, l.Heartbeat)
	}
	if l.Duration < 2*l.Heartbeat {
		r.add(r.at("Lease.Duration", "Lease.Heartbeat"), "Lease.Duration is %v, less than 2 heartbeats of %v", l.Duration, l.Heartbeat)
	}
	if r.settings.PeerAddress == r.settings.CallerAddress {
		r.add(r.at("CallerAddress"), "CallerAddress is the same as PeerAddress, %q", r.settings.CallerAddress)
	}
}

// at returns the place of the first of the settings that was read.
func (r *reader) at(paths ...string) jujubegate.Position {
	for _, path := range paths {
		if position, ok := r.values[path]; ok {
			return position
		}
	}
	return r.start()
}

func (r *reader) start() jujubegate.Position {
	return jujubegate.Position{File: r.file, Line: 1, Column: 1}
}

func (r *reader) position(n *unstable.Node) jujubegate.Position {
	start := r.parser.Shape(n.Raw).Start
	return jujubegate.Position{File: r.file, Line: start.Line, Column: start.Column}
}

func (r *reader) add(position jujubegate.Position, format string, args ...any) {
	r.findings = append(r.findings, jujubegate.Finding{Position: position, Message: fmt.Sprintf(format, args...)})
}

// sorted returns the findings in the order of their places.
func (r *reader) sorted() jujubegate.Findings {
	slices.SortStableFunc(r.findings, func(a, b jujubegate.Finding) int {
		if a.Position.Line != b.Position.Line {
			return a.Position.Line - b.Position.Line
		}
		return a.Position.Column - b.Position.Column
	})
	return r.findings
}
