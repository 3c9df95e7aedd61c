// Package parser parses, checks and formats the statement language.
package parser

import (
	"fmt"
	"maps"
	"slices"
	"strings"
	"unicode/utf8"

	"github.com/alecthomas/participle/v2/lexer"

	"jujubegate.example/jujubegate"
)

const (
	// MaxInput is the largest text that Parse accepts, in bytes.
	MaxInput = 512 << 10
	// MaxFindings is the number of findings after which Parse stops.
	MaxFindings = 200
)

// constructors maps the verb and kind of each statement to a function that
// returns a new one.
var constructors = map[string]func() Statement{
	"Declare Service":       func() Statement { return &DeclareService{} },
	"Alter Service":         func() Statement { return &AlterService{} },
	"Drop Service":          func() Statement { return &DropService{} },
	"Declare Route":         func() Statement { return &DeclareRoute{} },
	"Alter Route":           func() Statement { return &AlterRoute{} },
	"Drop Route":            func() Statement { return &DropRoute{} },
	"Declare Target":        func() Statement { return &DeclareTarget{} },
	"Alter Target":          func() Statement { return &AlterTarget{} },
	"Drop Target":           func() Statement { return &DropTarget{} },
	"TakeOut DataCentre":    func() Statement { return &TakeOutDataCentre{} },
	"BringIn DataCentre":    func() Statement { return &BringInDataCentre{} },
	"BringIn Version":       func() Statement { return &BringInVersion{} },
	"Advance Version":       func() Statement { return &AdvanceVersion{} },
	"Finish Version":        func() Statement { return &FinishVersion{} },
	"TakeBack Version":      func() Statement { return &TakeBackVersion{} },
	"SetDeadline Version":   func() Statement { return &SetDeadlineVersion{} },
	"Restore Configuration": func() Statement { return &RestoreConfiguration{} },
	"Restore DataCentre":    func() Statement { return &RestoreDataCentre{} },
	"Restore Version":       func() Statement { return &RestoreVersion{} },
	"Restore TakenBack":     func() Statement { return &RestoreTakenBack{} },
	"Restore Token":         func() Statement { return &RestoreToken{} },
	"Show Services":         func() Statement { return &Show{Kind: KindServices} },
	"Show Routes":           func() Statement { return &Show{Kind: KindRoutes} },
	"Show Targets":          func() Statement { return &Show{Kind: KindTargets} },
	"Show DataCentres":      func() Statement { return &Show{Kind: KindDataCentres} },
	"Show Versions":         func() Statement { return &Show{Kind: KindVersions} },
	"Show Moves":            func() Statement { return &Show{Kind: KindMoves} },
	"Show Instances":        func() Statement { return &Show{Kind: KindInstances} },
}

// verbs holds the first words of all statements.
var verbs = func() jujubegate.Set[string] {
	var words []string
	for pair := range constructors {
		words = append(words, strings.Fields(pair)[0])
	}
	return jujubegate.NewSet(words...)
}()

// Parse returns the statements of a text of at most MaxInput bytes. If there
// are findings, it returns only the valid statements.
func Parse(file, text string) ([]Statement, jujubegate.Findings) {
	return ParseWithLimit(file, text, MaxInput)
}

// ParseWithLimit is like Parse for a text of at most maxBytes bytes.
func ParseWithLimit(file, text string, maxBytes int) ([]Statement, jujubegate.Findings) {
	tokens, findings := scanInput(file, text, maxBytes)
	if tokens == nil {
		return nil, findings
	}
	s := splitter{tokens: slices.DeleteFunc(tokens, func(t lexer.Token) bool { return t.Type == commentType })}
	var statements []Statement
	for !s.peek().EOF() && len(findings)+len(s.findings) < MaxFindings {
		raw, wellFormed := s.nextStatement()
		if raw.empty() {
			continue
		}
		tree, newFindings := raw.parse()
		findings = append(findings, newFindings...)
		if tree.head == nil {
			continue
		}
		statement, newFindings := buildStatement(raw, tree)
		findings = append(findings, newFindings...)
		if wellFormed && tree.complete && len(newFindings) == 0 {
			statements = append(statements, statement)
		}
	}
	return statements, sortAndLimit(append(findings, s.findings...))
}

// scanInput checks the size and the encoding of a text and scans it.
func scanInput(file, text string, maxBytes int) ([]lexer.Token, jujubegate.Findings) {
	start := jujubegate.Position{File: file, Line: 1, Column: 1}
	if len(text) > maxBytes {
		return nil, jujubegate.Findings{{
			Position: start,
			Message:  fmt.Sprintf("text has %d bytes, the limit is %d", len(text), maxBytes),
		}}
	}
	if !utf8.ValidString(text) {
		return nil, jujubegate.Findings{{Position: start, Message: "text is not valid UTF-8"}}
	}
	return scan(file, text)
}

// sortAndLimit sorts findings by position, removes duplicates and returns at
// most MaxFindings.
func sortAndLimit(findings jujubegate.Findings) jujubegate.Findings {
	slices.SortStableFunc(findings, func(a, b jujubegate.Finding) int {
		if a.Position.Line != b.Position.Line {
			return a.Position.Line - b.Position.Line
		}
		return a.Position.Column - b.Position.Column
	})
	findings = slices.Compact(findings)
	if len(findings) > MaxFindings {
		findings = findings[:MaxFindings]
	}
	return findings
}

// buildStatement converts the syntax tree of a statement into a typed statement
// and checks its name and fields.
func buildStatement(raw rawStatement, tree syntaxTree) (Statement, jujubegate.Findings) {
	h := tree.head
	constructor, ok := constructors[h.Verb+" "+h.Kind]
	if !ok {
		return nil, jujubegate.Findings{finding(h.Pos, unknownStatement(h.Verb, h.Kind))}
	}
	s := constructor()
	var namePosition jujubegate.Position
	if h.Name != nil {
		namePosition = position(h.Name.Pos)
	}
	s.setPosition(position(h.Pos), namePosition)
	schema := s.schema()
	findings := checkName(h, schema)
	if show, ok := s.(*Show); ok {
		findings = append(findings, show.addConditions(h.Conditions)...)
	} else if len(h.Conditions) > 0 {
		findings = append(findings, finding(h.Conditions[0].Pos, "only Show has conditions"))
	}
	if raw.hasBlock && len(schema.fields) == 0 {
		return s, append(findings, finding(h.Pos, fmt.Sprintf("%s %s has no fields", h.Verb, h.Kind)))
	}
	return s, append(findings, checkFields(h, schema, tree)...)
}

func checkName(h *head, s schema) jujubegate.Findings {
	switch {
	case s.name == nil && h.Name != nil:
		return jujubegate.Findings{finding(h.Name.Pos, fmt.Sprintf("%s %s takes no name", s.verb, s.kind))}
	case s.name != nil && h.Name == nil:
		return jujubegate.Findings{finding(h.Pos, fmt.Sprintf("%s %s needs a name", s.verb, s.kind))}
	case s.name == nil:
		return nil
	}
	if message := s.name.set(h.Name.Parts); message != "" {
		return jujubegate.Findings{finding(h.Name.Pos, message)}
	}
	return nil
}

func checkFields(h *head, s schema, tree syntaxTree) jujubegate.Findings {
	var findings jujubegate.Findings
	firstPositions := make(map[string]jujubegate.Position, len(tree.assignments))
	for _, a := range tree.assignments {
		i := slices.IndexFunc(s.fields, func(b binding) bool { return b.name == a.Field })
		if i < 0 {
			findings = append(findings, finding(a.Pos, unknownField(a.Field, s)))
			continue
		}
		if previous, ok := firstPositions[a.Field]; ok {
			findings = append(findings, finding(a.Pos,
				fmt.Sprintf("field %s is given twice, first at line %d, column %d", a.Field, previous.Line, previous.Column)))
			continue
		}
		firstPositions[a.Field] = position(a.Pos)
		if message := s.fields[i].set(a.Value); message != "" {
			findings = append(findings, finding(a.Value.Pos, message))
		}
	}
	for _, b := range s.fields {
		// After a syntax error the missing field may be one that failed to parse.
		if _, ok := firstPositions[b.name]; b.required && !ok && tree.complete {
			findings = append(findings, finding(h.Pos, fmt.Sprintf("%s %s needs the field %s", s.verb, s.kind, b.name)))
		}
	}
	if len(tree.assignments) == 0 && tree.complete && s.verb == "Alter" && len(findings) == 0 {
		findings = append(findings, finding(h.Pos, fmt.Sprintf("Alter %s changes no field", s.kind)))
	}
	return findings
}

func unknownField(name string, s schema) string {
	names := make([]string, len(s.fields))
	for i, b := range s.fields {
		names[i] = b.name
	}
	return fmt.Sprintf("%s %s has no field %s; its fields are %s", s.verb, s.kind, name, strings.Join(names, ", "))
}

func unknownStatement(verb, kind string) string {
	var kinds []string
	for _, pair := range slices.Sorted(maps.Keys(constructors)) {
		if words := strings.Fields(pair); words[0] == verb && verb != "Restore" {
			kinds = append(kinds, pair)
		}
	}
	if len(kinds) == 0 {
		return fmt.Sprintf("no statement begins with %s", verb)
	}
	return fmt.Sprintf("there is no statement %s %s; there are %s", verb, kind, strings.Join(kinds, ", "))
}
