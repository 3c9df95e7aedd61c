package parser

import (
	"github.com/alecthomas/participle/v2"
	"github.com/alecthomas/participle/v2/lexer"

	"jujubegate.example/jujubegate"
)

// head is the part of a statement before its block.
type head struct {
	Pos        lexer.Position
	Verb       string       `parser:"@Ident"`
	Kind       string       `parser:"@Ident"`
	Name       *name        `parser:"( (?! 'Where') @@ )?"`
	Conditions []*condition `parser:"( 'Where' @@ ( 'And' @@ )* )?"`
}

// name is one or two words joined by a dot.
type name struct {
	Pos   lexer.Position
	Parts []string `parser:"@( Ident | String ) ( '.' @( Ident | String ) )?"`
}

// condition compares a column with a value.
type condition struct {
	Pos      lexer.Position
	Column   string   `parser:"@Ident"`
	Operator string   `parser:"@( '=' | '!=' )"`
	Value    *literal `parser:"@@"`
}

// assignment sets one field in a block.
type assignment struct {
	Pos   lexer.Position
	Field string   `parser:"@Ident '='"`
	Value *literal `parser:"@@"`
}

// literal is a value as written; exactly one field is set.
type literal struct {
	Pos      lexer.Position
	String   *string `parser:"  @String"`
	Time     *string `parser:"| @Time"`
	Duration *string `parser:"| @Duration"`
	Int      *string `parser:"| @Int"`
	Ident    *string `parser:"| @Ident"`
}

// text returns the literal as written.
func (l *literal) text() string {
	for _, t := range []*string{l.String, l.Time, l.Duration, l.Int, l.Ident} {
		if t != nil {
			return *t
		}
	}
	return ""
}

var (
	headParser       = participle.MustBuild[head](participle.Lexer(definition{}), participle.UseLookahead(2))
	assignmentParser = participle.MustBuild[assignment](participle.Lexer(definition{}), participle.UseLookahead(2))
)

// Forms of the parts of a statement, for findings.
const (
	headForm  = "a statement begins like Declare Service Name or Show Targets Where Service = Name And Shard != 1"
	fieldForm = "a field has the form Name = Value;"
)

// syntax is a statement before its words and fields are checked.
type syntax struct {
	head        *head
	assignments []*assignment
	// complete is false if parts were left out because of a finding.
	complete bool
}

// read parses tokens by a grammar; all of them must be used.
func read[G any](p *participle.Parser[G], tokens []lexer.Token, end lexer.Position) (*G, error) {
	peeking, err := lexer.Upgrade(&slice{tokens: tokens, end: end})
	if err != nil {
		return nil, err
	}
	return p.ParseFromLexer(peeking)
}

// read parses the parts of one statement, each on its own, so that a fault in
// one field does not hide a fault in the next.
func (p part) read() (syntax, jujubegate.Findings) {
	var findings jujubegate.Findings
	s := syntax{complete: true}
	h, err := read(headParser, p.head, p.headEnd)
	if err != nil {
		findings = append(findings, syntaxFindings(p.headEnd.Filename, err, headForm)...)
		s.complete = false
	} else {
		s.head = h
	}
	for _, f := range p.fields {
		a, err := read(assignmentParser, f.tokens, f.end)
		if err != nil {
			findings = append(findings, syntaxFindings(f.end.Filename, err, fieldForm)...)
			s.complete = false
			continue
		}
		s.assignments = append(s.assignments, a)
	}
	return s, findings
}
