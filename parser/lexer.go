package parser

import (
	"io"
	"strings"
	"unicode"
	"unicode/utf8"

	"github.com/alecthomas/participle/v2/lexer"
)

// Types of tokens.
const (
	endType lexer.TokenType = lexer.EOF - iota
	commentType
	stringType
	identType
	punctType
	timeType
	durationType
	intType
	// badStringType is a string without a closing quote on its line.
	badStringType
	// invalidType is a character that cannot begin a token.
	invalidType
)

// definition is the lexer definition of the grammars. The lexer is written by
// hand, since one built from regular expressions took 0.5 s for the statements of
// 6,200 targets.
type definition struct{}

var _ lexer.Definition = definition{}

// Symbols returns the names of the token types.
func (definition) Symbols() map[string]lexer.TokenType {
	return map[string]lexer.TokenType{
		"EOF": endType, "Comment": commentType, "String": stringType, "Ident": identType, "Punct": punctType,
		"Time": timeType, "Duration": durationType, "Int": intType, "BadString": badStringType,
		"Invalid": invalidType,
	}
}

// Lex returns a lexer for the text of a reader.
func (definition) Lex(file string, r io.Reader) (lexer.Lexer, error) {
	text, err := io.ReadAll(r)
	if err != nil {
		return nil, err
	}
	return newScanner(file, string(text)), nil
}

// scanner splits a text into tokens and skips white space.
type scanner struct {
	text string
	pos  lexer.Position
}

func newScanner(file, text string) *scanner {
	return &scanner{text: text, pos: lexer.Position{Filename: file, Line: 1, Column: 1}}
}

// Next returns the next token; it never fails.
func (s *scanner) Next() (lexer.Token, error) {
	rest := s.text[s.pos.Offset:]
	s.advance(rest[:len(rest)-len(strings.TrimLeft(rest, " \t\r\n\f"))])
	rest = s.text[s.pos.Offset:]
	if rest == "" {
		return lexer.EOFToken(s.pos), nil
	}
	kind, length := matchToken(rest)
	token := lexer.Token{Type: kind, Value: rest[:length], Pos: s.pos}
	s.advance(token.Value)
	return token, nil
}

// advance moves the position past part, which is the text at the position.
func (s *scanner) advance(part string) {
	s.pos.Offset += len(part)
	if i := strings.LastIndexByte(part, '\n'); i >= 0 {
		s.pos.Line += strings.Count(part, "\n")
		s.pos.Column = 1
		part = part[i+1:]
	}
	s.pos.Column += utf8.RuneCountInString(part)
}

// matchToken returns the type and the length of the token at the start of a
// text.
func matchToken(text string) (lexer.TokenType, int) {
	first, width := utf8.DecodeRuneInString(text)
	switch {
	case first == '#':
		return commentType, lineLength(text)
	case first == '"':
		return matchString(text)
	case first == '_' || unicode.IsLetter(first):
		return identType, identLength(text)
	case strings.ContainsRune("{}=;.", first):
		return punctType, 1
	case strings.HasPrefix(text, "!="):
		return punctType, len("!=")
	case isDigit(text, 0):
		return matchNumber(text)
	case first == '-' && isDigit(text, 1):
		return intType, 1 + countDigits(text[1:])
	}
	return invalidType, width
}

func lineLength(text string) int {
	if i := strings.IndexByte(text, '\n'); i >= 0 {
		return i
	}
	return len(text)
}

func matchString(text string) (lexer.TokenType, int) {
	line := text[:lineLength(text)]
	for i := 1; i < len(line); i++ {
		switch line[i] {
		case '\\':
			i++
		case '"':
			return stringType, i + 1
		}
	}
	return badStringType, len(line)
}

func identLength(text string) int {
	i := strings.IndexFunc(text, func(r rune) bool {
		return !unicode.IsLetter(r) && !unicode.IsNumber(r) && r != '_' && r != '-'
	})
	if i < 0 {
		return len(text)
	}
	return i
}

func isDigit(text string, i int) bool { return i < len(text) && '0' <= text[i] && text[i] <= '9' }

// countDigits returns the number of digits at the start of a text.
func countDigits(text string) int {
	n := 0
	for isDigit(text, n) {
		n++
	}
	return n
}

// fractionLength returns the length of a decimal point with digits at the start
// of a text, or 0.
func fractionLength(text string) int {
	if !strings.HasPrefix(text, ".") || !isDigit(text, 1) {
		return 0
	}
	return 1 + countDigits(text[1:])
}

func matchNumber(text string) (lexer.TokenType, int) {
	if n := timeLength(text); n > 0 {
		return timeType, n
	}
	if n := durationLength(text); n > 0 {
		return durationType, n
	}
	return intType, countDigits(text)
}

// timeLength returns the length of an RFC 3339 time at the start of a text, or 0.
func timeLength(text string) int {
	n := matchLayout(text, "0000-00-00T00:00:00")
	if n == 0 {
		return 0
	}
	n += fractionLength(text[n:])
	rest := text[n:]
	switch {
	case strings.HasPrefix(rest, "Z"):
		return n + 1
	case strings.HasPrefix(rest, "+") || strings.HasPrefix(rest, "-"):
		if zone := matchLayout(rest[1:], "00:00"); zone > 0 {
			return n + 1 + zone
		}
	}
	return 0
}

// matchLayout returns the length of the layout if the text begins with it, or 0.
// A 0 in the layout matches any digit.
func matchLayout(text, layout string) int {
	for i := range len(layout) {
		if i >= len(text) || (layout[i] == '0') != isDigit(text, i) || layout[i] != '0' && layout[i] != text[i] {
			return 0
		}
	}
	return len(layout)
}

// units lists the units of time.ParseDuration. A longer unit precedes its prefix,
// so that ms is not read as m.
var units = []string{"ns", "us", "µs", "ms", "s", "m", "h"}

// durationLength returns the length of a duration at the start of a text, or 0.
func durationLength(text string) int {
	n := 0
	for {
		part := countDigits(text[n:])
		if part == 0 {
			return n
		}
		part += fractionLength(text[n+part:])
		unit := 0
		for _, u := range units {
			if strings.HasPrefix(text[n+part:], u) {
				unit = len(u)
				break
			}
		}
		if unit == 0 {
			return n
		}
		n += part + unit
	}
}
