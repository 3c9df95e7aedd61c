package parser

import (
	"github.com/alecthomas/participle/v2/lexer"

	"jujubegate.example/jujubegate"
)

// rawStatement holds the tokens of one statement, without its braces and
// semicolons.
type rawStatement struct {
	head    []lexer.Token
	headEnd lexer.Position
	fields  []rawField
	// hasBlock is set if the statement has braces.
	hasBlock bool
}

// empty reports whether there is no statement, as between two semicolons.
func (raw rawStatement) empty() bool { return len(raw.head) == 0 && !raw.hasBlock }

// rawField holds the tokens of one assignment without its semicolon.
type rawField struct {
	tokens []lexer.Token
	end    lexer.Position
}

// splitter splits tokens into statements. After an error it resumes at the next
// statement.
type splitter struct {
	tokens   []lexer.Token
	findings jujubegate.Findings
}

func (s *splitter) peek() lexer.Token { return s.tokens[0] }

func (s *splitter) nextIs(punct string) bool { return s.tokens[0].Value == punct }

func (s *splitter) next() lexer.Token {
	token := s.tokens[0]
	if !token.EOF() {
		s.tokens = s.tokens[1:]
	}
	return token
}

func (s *splitter) addFinding(message string) {
	s.findings = append(s.findings, finding(s.peek().Pos, message))
}

// startsStatement reports whether the next two words begin a statement. This
// finds the end of a statement with a missing brace or semicolon.
func (s *splitter) startsStatement() bool {
	return len(s.tokens) > 1 && s.tokens[0].Type == identType && s.tokens[1].Type == identType &&
		verbs.Has(s.tokens[0].Value)
}

// nextStatement returns the next statement and whether its braces and semicolons
// are correct.
func (s *splitter) nextStatement() (rawStatement, bool) {
	var raw rawStatement
	for s.nextIs("}") {
		s.addFinding(`no block is open for this "}"`)
		s.next()
		if s.nextIs(";") {
			s.next()
		}
	}
	for !s.peek().EOF() && !s.nextIs(";") && !s.nextIs("{") && !s.nextIs("}") {
		if len(raw.head) > 0 && s.startsStatement() {
			break
		}
		raw.head = append(raw.head, s.next())
	}
	raw.headEnd = s.peek().Pos
	wellFormed := true
	if s.nextIs("{") {
		s.next()
		raw.hasBlock = true
		wellFormed = s.readFields(&raw)
	}
	if raw.empty() && s.peek().EOF() {
		return raw, false
	}
	if !s.nextIs(";") {
		if wellFormed {
			s.addFinding(`statement does not end in ";"`)
		}
		if s.nextIs("}") {
			s.next()
		}
		if s.nextIs(";") {
			s.next()
		}
		return raw, false
	}
	s.next()
	return raw, wellFormed
}

// readFields reads the assignments up to the closing brace and reports whether
// their punctuation is correct.
func (s *splitter) readFields(raw *rawStatement) bool {
	for {
		var f rawField
		for !s.peek().EOF() && !s.nextIs(";") && !s.nextIs("}") && !s.startsStatement() {
			f.tokens = append(f.tokens, s.next())
		}
		f.end = s.peek().Pos
		switch {
		case s.nextIs(";"):
			s.next()
			raw.fields = append(raw.fields, f)
		case s.nextIs("}"):
			if len(f.tokens) > 0 {
				s.addFinding(`field does not end in ";"`)
				raw.fields = append(raw.fields, f)
			}
			s.next()
			return len(f.tokens) == 0
		default:
			if len(f.tokens) > 0 {
				raw.fields = append(raw.fields, f)
			}
			s.addFinding(`block is not closed by "}"`)
			return false
		}
	}
}
