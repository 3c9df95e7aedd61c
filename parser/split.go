package parser

import (
	"github.com/alecthomas/participle/v2/lexer"

	"jujubegate.example/jujubegate"
)

// part is the tokens of one statement without its punctuation.
type part struct {
	head    []lexer.Token
	headEnd lexer.Position
	fields  []field
	// block says that the statement has braces.
	block bool
}

// empty reports whether there is no statement, as between two semicolons.
func (p part) empty() bool { return len(p.head) == 0 && !p.block }

// field is the tokens of one assignment without its semicolon.
type field struct {
	tokens []lexer.Token
	end    lexer.Position
}

// splitter divides tokens into statements. After a fault it goes on at the
// next statement.
type splitter struct {
	tokens   []lexer.Token
	findings jujubegate.Findings
}

func (s *splitter) peek() lexer.Token { return s.tokens[0] }

func (s *splitter) is(punct string) bool { return s.tokens[0].Value == punct }

func (s *splitter) next() lexer.Token {
	token := s.tokens[0]
	if !token.EOF() {
		s.tokens = s.tokens[1:]
	}
	return token
}

func (s *splitter) report(message string) {
	s.findings = append(s.findings, finding(s.peek().Pos, message))
}

// startsStatement says whether the next two words begin a statement, which
// shows where a statement with a missing brace or semicolon ends.
func (s *splitter) startsStatement() bool {
	return len(s.tokens) > 1 && s.tokens[0].Type == identType && s.tokens[1].Type == identType &&
		verbs.Has(s.tokens[0].Value)
}

// statement returns the next statement and whether its punctuation is sound.
func (s *splitter) statement() (part, bool) {
	var p part
	for s.is("}") {
		s.report(`no block is open for this "}"`)
		s.next()
		if s.is(";") {
			s.next()
		}
	}
	for !s.peek().EOF() && !s.is(";") && !s.is("{") && !s.is("}") {
		if len(p.head) > 0 && s.startsStatement() {
			break
		}
		p.head = append(p.head, s.next())
	}
	p.headEnd = s.peek().Pos
	sound := true
	if s.is("{") {
		s.next()
		p.block = true
		sound = s.fields(&p)
	}
	if p.empty() && s.peek().EOF() {
		return p, false
	}
	if !s.is(";") {
		if sound {
			s.report(`statement does not end in ";"`)
		}
		if s.is("}") {
			s.next()
		}
		if s.is(";") {
			s.next()
		}
		return p, false
	}
	s.next()
	return p, sound
}

// fields reads the assignments up to the closing brace.
func (s *splitter) fields(p *part) bool {
	for {
		var f field
		for !s.peek().EOF() && !s.is(";") && !s.is("}") && !s.startsStatement() {
			f.tokens = append(f.tokens, s.next())
		}
		f.end = s.peek().Pos
		switch {
		case s.is(";"):
			s.next()
			p.fields = append(p.fields, f)
		case s.is("}"):
			if len(f.tokens) > 0 {
				s.report(`field does not end in ";"`)
				p.fields = append(p.fields, f)
			}
			s.next()
			return len(f.tokens) == 0
		default:
			if len(f.tokens) > 0 {
				p.fields = append(p.fields, f)
			}
			s.report(`block is not closed by "}"`)
			return false
		}
	}
}
