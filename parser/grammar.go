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

// literal is a value as written; exactly one of its string fields is set.
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

// Hints that findings give on the expected syntax.
const (
	headHint  = "a statement begins like Declare Service Name or Show Targets Where Service = Name And Shard != 1"
	fieldHint = "a field has the form Name = Value;"
)

// syntaxTree is the parsed form of a statement before it is checked.
type syntaxTree struct {
	head        *head
	assignments []*assignment
	// complete is false if the head or a field had a syntax error and is missing.
	complete bool
}

// parseTokens parses tokens with a grammar, which must consume all of them.
func parseTokens[G any](p *participle.Parser[G], tokens []lexer.Token, end lexer.Position) (*G, error) {
	peekingLexer, err := lexer.Upgrade(&tokenSlice{tokens: tokens, end: end})
	if err != nil {
		return nil, err
	}
	return p.ParseFromLexer(peekingLexer)
}

// parse parses the head and each field of one statement separately, so that an
// error in one field does not hide an error in the next.
func (raw rawStatement) parse() (syntaxTree, jujubegate.Findings) {
	var findings jujubegate.Findings
	s := syntaxTree{complete: true}
	h, err := parseTokens(headParser, raw.head, raw.headEnd)
	if err != nil {
		findings = append(findings, syntaxFindings(raw.headEnd.Filename, err, headHint)...)
		s.complete = false
	} else {
		s.head = h
	}
	for _, f := range raw.fields {
		a, err := parseTokens(assignmentParser, f.tokens, f.end)
		if err != nil {
			findings = append(findings, syntaxFindings(f.end.Filename, err, fieldHint)...)
			s.complete = false
			continue
		}
		s.assignments = append(s.assignments, a)
	}
	return s, findings
}
