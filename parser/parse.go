// Package parser reads, checks and formats the statement language.
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
	// MaxInput is the largest text that Parse takes, in bytes.
	MaxInput = 512 << 10
	// MaxFindings is the number of findings after which Parse stops.
	MaxFindings = 200
)

// makers returns a new statement for each verb and kind.
var makers = map[string]func() Statement{
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

// verbs is the first words of all statements.
var verbs = func() jujubegate.Set[string] {
	var words []string
	for pair := range makers {
		words = append(words, strings.Fields(pair)[0])
	}
	return jujubegate.NewSet(words...)
}()

// Parse returns the statements of a text of at most MaxInput bytes. If there
// are findings, the statements are those without a fault.
func Parse(file, text string) ([]Statement, jujubegate.Findings) {
	return ParseWithLimit(file, text, MaxInput)
}

// ParseWithLimit is Parse with another limit of the length in bytes.
func ParseWithLimit(file, text string, size int) ([]Statement, jujubegate.Findings) {
	tokens, findings := prepare(file, text, size)
	if tokens == nil {
		return nil, findings
	}
	s := splitter{tokens: slices.DeleteFunc(tokens, func(t lexer.Token) bool { return t.Type == commentType })}
	var statements []Statement
	for !s.peek().EOF() && len(findings)+len(s.findings) < MaxFindings {
		p, sound := s.statement()
		if p.empty() {
			continue
		}
		tree, faults := p.read()
		findings = append(findings, faults...)
		if tree.head == nil {
			continue
		}
		statement, faults := check(p, tree)
		findings = append(findings, faults...)
		if sound && tree.complete && len(faults) == 0 {
			statements = append(statements, statement)
		}
	}
	return statements, tidy(append(findings, s.findings...))
}

// prepare checks the text as a whole and scans it.
func prepare(file, text string, size int) ([]lexer.Token, jujubegate.Findings) {
	start := jujubegate.Position{File: file, Line: 1, Column: 1}
	if len(text) > size {
		return nil, jujubegate.Findings{{
			Position: start,
			Message:  fmt.Sprintf("text has %d bytes, the limit is %d", len(text), size),
		}}
	}
	if !utf8.ValidString(text) {
		return nil, jujubegate.Findings{{Position: start, Message: "text is not valid UTF-8"}}
	}
	return scan(file, text)
}

// tidy sorts findings by position, drops repeated ones and limits their number.
func tidy(findings jujubegate.Findings) jujubegate.Findings {
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

// check turns the syntax of a statement into a typed one.
func check(p part, tree syntax) (Statement, jujubegate.Findings) {
	h := tree.head
	maker, ok := makers[h.Verb+" "+h.Kind]
	if !ok {
		return nil, jujubegate.Findings{finding(h.Pos, unknownStatement(h.Verb, h.Kind))}
	}
	s := maker()
	var namePosition jujubegate.Position
	if h.Name != nil {
		namePosition = position(h.Name.Pos)
	}
	s.place(position(h.Pos), namePosition)
	shape := s.shape()
	findings := checkName(h, shape)
	if show, ok := s.(*Show); ok {
		findings = append(findings, show.conditions(h.Conditions)...)
	} else if len(h.Conditions) > 0 {
		findings = append(findings, finding(h.Conditions[0].Pos, "only Show has conditions"))
	}
	if p.block && len(shape.fields) == 0 {
		return s, append(findings, finding(h.Pos, fmt.Sprintf("%s %s has no fields", h.Verb, h.Kind)))
	}
	return s, append(findings, checkFields(h, shape, tree)...)
}

func checkName(h *head, s shape) jujubegate.Findings {
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

func checkFields(h *head, s shape, tree syntax) jujubegate.Findings {
	var findings jujubegate.Findings
	first := make(map[string]jujubegate.Position, len(tree.assignments))
	for _, a := range tree.assignments {
		i := slices.IndexFunc(s.fields, func(b binding) bool { return b.name == a.Field })
		if i < 0 {
			findings = append(findings, finding(a.Pos, unknownField(a.Field, s)))
			continue
		}
		if before, ok := first[a.Field]; ok {
			findings = append(findings, finding(a.Pos,
				fmt.Sprintf("field %s is given twice, first at line %d, column %d", a.Field, before.Line, before.Column)))
			continue
		}
		first[a.Field] = position(a.Pos)
		if message := s.fields[i].set(a.Value); message != "" {
			findings = append(findings, finding(a.Value.Pos, message))
		}
	}
	for _, b := range s.fields {
		// After a syntax error the missing field may be the one that was not read.
		if _, ok := first[b.name]; b.required && !ok && tree.complete {
			findings = append(findings, finding(h.Pos, fmt.Sprintf("%s %s needs the field %s", s.verb, s.kind, b.name)))
		}
	}
	if len(tree.assignments) == 0 && tree.complete && s.verb == "Alter" && len(findings) == 0 {
		findings = append(findings, finding(h.Pos, fmt.Sprintf("Alter %s changes no field", s.kind)))
	}
	return findings
}

func unknownField(name string, s shape) string {
	names := make([]string, len(s.fields))
	for i, b := range s.fields {
		names[i] = b.name
	}
	return fmt.Sprintf("%s %s has no field %s; its fields are %s", s.verb, s.kind, name, strings.Join(names, ", "))
}

func unknownStatement(verb, kind string) string {
	var kinds []string
	for _, pair := range slices.Sorted(maps.Keys(makers)) {
		if words := strings.Fields(pair); words[0] == verb && verb != "Restore" {
			kinds = append(kinds, pair)
		}
	}
	if len(kinds) == 0 {
		return fmt.Sprintf("no statement begins with %s", verb)
	}
	return fmt.Sprintf("there is no statement %s %s; there are %s", verb, kind, strings.Join(kinds, ", "))
}
