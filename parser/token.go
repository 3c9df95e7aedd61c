package parser

import (
	"errors"
	"fmt"

	"github.com/alecthomas/participle/v2"
	"github.com/alecthomas/participle/v2/lexer"

	"jujubegate.example/jujubegate"
)

// scan splits a text into tokens, the last of which is the end of the input.
// It stops early at MaxFindings.
func scan(file, text string) ([]lexer.Token, jujubegate.Findings) {
	scanner := newScanner(file, text)
	var tokens []lexer.Token
	var findings jujubegate.Findings
	for {
		token, err := scanner.Next()
		switch {
		case err != nil:
			findings = append(findings, errorFinding(file, err))
		case token.Type == badStringType:
			findings = append(findings, finding(token.Pos, "string is not closed on its line"))
		case token.Type == invalidType:
			findings = append(findings, finding(token.Pos, fmt.Sprintf("unexpected character %q", token.Value)))
		}
		if err != nil || len(findings) >= MaxFindings {
			return append(tokens, lexer.EOFToken(token.Pos)), findings
		}
		tokens = append(tokens, token)
		if token.EOF() {
			return tokens, findings
		}
	}
}

// errorFinding returns an error of participle with its position.
func errorFinding(file string, err error) jujubegate.Finding {
	var positioned participle.Error
	if !errors.As(err, &positioned) {
		return jujubegate.Finding{Position: jujubegate.Position{File: file, Line: 1, Column: 1}, Message: err.Error()}
	}
	return finding(positioned.Position(), positioned.Message())
}

// syntaxFindings is errorFinding for an unexpected token, with a message that
// says what the place takes instead of a part of the grammar. It returns none
// for a malformed token, which scan has reported.
func syntaxFindings(file string, err error, wanted string) jujubegate.Findings {
	var unexpected *participle.UnexpectedTokenError
	if !errors.As(err, &unexpected) {
		return jujubegate.Findings{errorFinding(file, err)}
	}
	token := unexpected.Unexpected
	switch {
	case token.Type == badStringType || token.Type == invalidType:
		return nil
	case token.EOF():
		return jujubegate.Findings{finding(token.Pos, "unexpected end; "+wanted)}
	}
	return jujubegate.Findings{finding(token.Pos, fmt.Sprintf("unexpected %s; %s", token.Value, wanted))}
}

func finding(at lexer.Position, message string) jujubegate.Finding {
	return jujubegate.Finding{Position: position(at), Message: message}
}

func position(at lexer.Position) jujubegate.Position {
	return jujubegate.Position{File: at.Filename, Line: at.Line, Column: at.Column}
}

// slice is a lexer over tokens that were scanned before.
type slice struct {
	tokens []lexer.Token
	end    lexer.Position
}

// Next returns the next token, or the end of the input.
func (s *slice) Next() (lexer.Token, error) {
	if len(s.tokens) == 0 {
		return lexer.EOFToken(s.end), nil
	}
	token := s.tokens[0]
	s.tokens = s.tokens[1:]
	return token, nil
}

var _ lexer.Lexer = (*slice)(nil)
