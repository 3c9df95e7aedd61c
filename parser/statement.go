package parser

import (
	"strings"

	"jujubegate.example/jujubegate"
)

// Statement is one checked statement of the language.
type Statement interface {
	// Position returns the place of the first word.
	Position() jujubegate.Position
	// NamePosition returns the place of the name, or the zero position if the
	// statement has none.
	NamePosition() jujubegate.Position
	// String returns the statement in canonical form on one line.
	String() string

	shape() shape
	place(at, name jujubegate.Position)
}

// node holds the place of a statement.
type node struct {
	position     jujubegate.Position
	namePosition jujubegate.Position
}

// Position returns the place of the first word of the statement.
func (n *node) Position() jujubegate.Position { return n.position }

// NamePosition returns the place of the name of the statement.
func (n *node) NamePosition() jujubegate.Position { return n.namePosition }

func (n *node) place(at, name jujubegate.Position) { n.position, n.namePosition = at, name }

// shape is the words, the name and the fields of a statement.
type shape struct {
	verb   string
	kind   string
	name   *nameRule
	fields []binding
}

// nameRule joins the name of a statement with its rules.
type nameRule struct {
	set  func(parts []string) string
	text func() string
}

// single is the rule of a name of one word.
func single[T ~string](to *T) *nameRule {
	return &nameRule{
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

// routeName is the rule of a name of the form Service.Route.
func routeName(service *jujubegate.Service, route *jujubegate.Route) *nameRule {
	return &nameRule{
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

// address is the rule of a name that is a quoted host:port.
func address(to *jujubegate.Address) *nameRule {
	return &nameRule{
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

// format returns a statement in canonical form.
func format(s shape) string {
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

// Join returns statements as a text, one on each line.
func Join(statements []Statement) string {
	var b strings.Builder
	for _, s := range statements {
		b.WriteString(s.String())
		b.WriteString("\n")
	}
	return b.String()
}
