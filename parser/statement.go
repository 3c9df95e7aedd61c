package parser

import (
	"strings"

	"jujubegate.example/jujubegate"
)

// Statement is one checked statement of the language.
type Statement interface {
	// Position returns the position of the first word.
	Position() jujubegate.Position
	// NamePosition returns the position of the name, or the zero position if the
	// statement has none.
	NamePosition() jujubegate.Position
	// String returns the statement in canonical form on one line.
	String() string

	schema() schema
	setPosition(at, name jujubegate.Position)
}

// positions holds the source positions of a statement; every statement type
// embeds it.
type positions struct {
	pos     jujubegate.Position
	namePos jujubegate.Position
}

// Position returns the position of the first word of the statement.
func (n *positions) Position() jujubegate.Position { return n.pos }

// NamePosition returns the position of the name of the statement.
func (n *positions) NamePosition() jujubegate.Position { return n.namePos }

func (n *positions) setPosition(at, name jujubegate.Position) { n.pos, n.namePos = at, name }

// schema describes a statement: its verb and kind, its name and its fields. The
// name is nil if the statement takes none.
type schema struct {
	verb   string
	kind   string
	name   *nameBinding
	fields []binding
}

// nameBinding connects the name of a statement with its decoder and encoder.
type nameBinding struct {
	set  func(parts []string) string
	text func() string
}

// singleName binds a name without a dot.
func singleName[T ~string](to *T) *nameBinding {
	return &nameBinding{
		set: func(parts []string) string {
			if len(parts) != 1 {
				return "name must not have a dot"
			}
			value, message := decodeName(parts[0])
			*to = T(value)
			return message
		},
		text: func() string { return FormatName(string(*to)) },
	}
}

// routeName binds a name of the form Service.Route.
func routeName(service *jujubegate.Service, route *jujubegate.Route) *nameBinding {
	return &nameBinding{
		set: func(parts []string) string {
			if len(parts) != 2 {
				return "name of a route must be Service.Route"
			}
			first, message := decodeName(parts[0])
			if message != "" {
				return message
			}
			second, message := decodeName(parts[1])
			*service, *route = jujubegate.Service(first), jujubegate.Route(second)
			return message
		},
		text: func() string { return FormatName(string(*service)) + "." + FormatName(string(*route)) },
	}
}

// addressName binds a name that is a quoted host:port.
func addressName(to *jujubegate.Address) *nameBinding {
	return &nameBinding{
		set: func(parts []string) string {
			if len(parts) != 1 || !strings.HasPrefix(parts[0], `"`) {
				return `name of a target must be a string like "10.0.0.1:9000"`
			}
			value, message := decodeAddress(parts[0])
			*to = jujubegate.Address(value)
			return message
		},
		text: func() string { return `"` + string(*to) + `"` },
	}
}

// canonicalText returns a statement in canonical form.
func canonicalText(s schema) string {
	var b strings.Builder
	b.WriteString(s.verb + " " + s.kind)
	if s.name != nil {
		b.WriteString(" " + s.name.text())
	}
	open := false
	for _, f := range s.fields {
		text := f.text()
		if text == "" {
			continue
		}
		if !open {
			b.WriteString(" {")
			open = true
		}
		b.WriteString(" " + f.name + " = " + text + ";")
	}
	if open {
		b.WriteString(" }")
	}
	b.WriteString(";")
	return b.String()
}

// Join returns the canonical form of statements, one on each line.
func Join(statements []Statement) string {
	var b strings.Builder
	for _, s := range statements {
		b.WriteString(s.String())
		b.WriteString("\n")
	}
	return b.String()
}
