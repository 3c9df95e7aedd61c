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

// reader reads settings and collects findings. It walks the syntax tree, since
// decoding into a struct stops at the first wrong type.
type reader struct {
	file     string
	settings *Settings
	findings jujubegate.Findings
	parser   unstable.Parser
	// settingPositions holds the position of each setting that was read,
	// sectionPositions that of each section header.
	settingPositions map[string]jujubegate.Position
	sectionPositions map[string]jujubegate.Position
}

func (r *reader) read(data []byte) {
	r.parser.Reset(data)
	section := ""
	for r.parser.NextExpression() {
		n := r.parser.Expression()
		switch n.Kind {
		case unstable.Table, unstable.ArrayTable:
			section = r.readSection(n)
		case unstable.KeyValue:
			r.readKeyValue(section, n)
		}
	}
	r.checkSyntax(data)
}

// checkSyntax reports the first error of the TOML decoder: the syntax error that
// ended the walk, or anything else that TOML forbids. It skips an error on a line
// that already has a finding.
func (r *reader) checkSyntax(data []byte) {
	var values map[string]any
	var e *toml.DecodeError
	if err := toml.Unmarshal(data, &values); errors.As(err, &e) {
		line, column := e.Position()
		position := jujubegate.Position{File: r.file, Line: line, Column: column}
		known := slices.ContainsFunc(r.findings, func(f jujubegate.Finding) bool { return f.Position.Line == line })
		if !known {
			r.addFinding(position, "%s", strings.TrimPrefix(e.Error(), "toml: "))
		}
	} else if err != nil {
		r.addFinding(r.fileStart(), "%s", err)
	}
}

// readSection checks a section header and returns the path of the section.
func (r *reader) readSection(n *unstable.Node) string {
	path, position := r.keyPath("", n.Key())
	first, twice := r.sectionPositions[path]
	switch {
	case n.Kind == unstable.ArrayTable:
		r.addFinding(position, "%s must be a section [%s], not a list of sections", path, path)
	case !isSection(path):
		r.addFinding(position, "section %s is unknown", path)
	case twice:
		r.addFinding(position, "section %s is already at line %d", path, first.Line)
	default:
		r.sectionPositions[path] = position
	}
	return path
}

// keyPath returns the path and the position of a possibly dotted key.
func (r *reader) keyPath(section string, parts unstable.Iterator) (string, jujubegate.Position) {
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
		path = joinPath(path, part)
	}
	return path, position
}

// readKeyValue reads one setting, or an inline table as a section.
func (r *reader) readKeyValue(section string, n *unstable.Node) {
	path, position := r.keyPath(section, n.Key())
	value := n.Value()
	d, ok := findDefinition(path)
	switch {
	case ok:
		r.readSetting(d, value, position)
	case isSection(path) && value.Kind == unstable.InlineTable:
		r.sectionPositions[path] = position
		for members := value.Children(); members.Next(); {
			r.readKeyValue(path, members.Node())
		}
	case isSection(path):
		r.addFinding(position, "%s is a section, not %s", path, withArticle(kindName(value.Kind)))
	case section == "" || isSection(section):
		r.addFinding(position, "setting %s is unknown", path)
	}
}

func (r *reader) readSetting(d definition, value *unstable.Node, position jujubegate.Position) {
	if first, twice := r.settingPositions[d.path()]; twice {
		r.addFinding(position, "%s is already set at line %d", d.path(), first.Line)
		return
	}
	r.settingPositions[d.path()] = position
	// The parser gives no position for arrays; the position of the key is used.
	if value.Raw.Length > 0 {
		position = r.position(value)
	}
	v, err := convert(d, value)
	if err == nil && d.rule.check != nil {
		err = d.rule.check(v)
	}
	if err != nil {
		r.addFinding(position, "%s %s", d.path(), err)
		return
	}
	d.assign(r.settings, v)
}

// checkRequired reports the required settings that were not set, at the position
// of their section.
func (r *reader) checkRequired() {
	for _, d := range table {
		if _, ok := r.settingPositions[d.path()]; ok || d.defaultValue != nil {
			continue
		}
		position, ok := r.sectionPositions[d.section]
		if !ok {
			position = r.fileStart()
		}
		r.addFinding(position, "%s is missing", d.path())
	}
}

// minBodiesInMemory is how many bodies of the largest size Limits.ClientMemoryBytes must hold
// at least, so that one of them fits into the part for requests while it is decoded.
const minBodiesInMemory = 16

// checkDependencies checks settings that depend on each other.
func (r *reader) checkDependencies() {
	l := r.settings.Lease
	if c := r.settings.Limits; c.ClientMemoryBytes < minBodiesInMemory*c.MaxBodyBytes {
		r.addFinding(r.positionOf("Limits.ClientMemoryBytes", "Limits.MaxBodyBytes"), "Limits.ClientMemoryBytes is %d, less than %d times MaxBodyBytes, which is %d", c.ClientMemoryBytes, minBodiesInMemory, c.MaxBodyBytes)
	}
	if l.Suspect < 2*l.Heartbeat {
		r.addFinding(r.positionOf("Lease.Suspect", "Lease.Heartbeat"), "Lease.Suspect is %v, less than 2 heartbeats of %v", l.Suspect, l.Heartbeat)
	}
	if l.Duration < 2*l.Heartbeat {
		r.addFinding(r.positionOf("Lease.Duration", "Lease.Heartbeat"), "Lease.Duration is %v, less than 2 heartbeats of %v", l.Duration, l.Heartbeat)
	}
	if r.settings.PeerAddress == r.settings.CallerAddress {
		r.addFinding(r.positionOf("CallerAddress"), "CallerAddress is the same as PeerAddress, %q", r.settings.CallerAddress)
	}
}

// positionOf returns the position of the first of the settings that was read.
func (r *reader) positionOf(paths ...string) jujubegate.Position {
	for _, path := range paths {
		if position, ok := r.settingPositions[path]; ok {
			return position
		}
	}
	return r.fileStart()
}

func (r *reader) fileStart() jujubegate.Position {
	return jujubegate.Position{File: r.file, Line: 1, Column: 1}
}

func (r *reader) position(n *unstable.Node) jujubegate.Position {
	start := r.parser.Shape(n.Raw).Start
	return jujubegate.Position{File: r.file, Line: start.Line, Column: start.Column}
}

func (r *reader) addFinding(position jujubegate.Position, format string, args ...any) {
	r.findings = append(r.findings, jujubegate.Finding{Position: position, Message: fmt.Sprintf(format, args...)})
}

// sortedFindings sorts the findings by position and returns them.
func (r *reader) sortedFindings() jujubegate.Findings {
	slices.SortStableFunc(r.findings, func(a, b jujubegate.Finding) int {
		if a.Position.Line != b.Position.Line {
			return a.Position.Line - b.Position.Line
		}
		return a.Position.Column - b.Position.Column
	})
	return r.findings
}
