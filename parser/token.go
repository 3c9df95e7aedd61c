package parser

import (
	"errors"
	"fmt"

	"github.com/alecthomas/participle/v2"
	"github.com/alecthomas/participle/v2/lexer"

	"jujubegate.example/jujubegate"
)

// scan splits a text into tokens, the last of which is the end-of-input token.
// It stops after MaxFindings findings.
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

// errorFinding converts an error of participle into a finding.
func errorFinding(file string, err error) jujubegate.Finding {
	var positioned participle.Error
	if !errors.As(err, &positioned) {
		return jujubegate.Finding{Position: jujubegate.Position{File: file, Line: 1, Column: 1}, Message: err.Error()}
	}
	return finding(positioned.Position(), positioned.Message())
}

// syntaxFindings converts an error of participle into findings. For an unexpected
// token the message gives the hint instead of a production of the grammar. A
// malformed token yields no finding, since scan has already reported it.
func syntaxFindings(file string, err error, hint string) jujubegate.Findings {
	var unexpected *participle.UnexpectedTokenError
	if !errors.As(err, &unexpected) {
		return jujubegate.Findings{errorFinding(file, err)}
	}
	token := unexpected.Unexpected
	switch {
	case token.Type == badStringType || token.Type == invalidType:
		return nil
	case token.EOF():
		return jujubegate.Findings{finding(token.Pos, "unexpected end; "+hint)}
	}
	return jujubegate.Findings{finding(token.Pos, fmt.Sprintf("unexpected %s; %s", token.Value, hint))}
}

func finding(at lexer.Position, message string) jujubegate.Finding {
	return jujubegate.Finding{Position: position(at), Message: message}
}

func position(at lexer.Position) jujubegate.Position {
	return jujubegate.Position{File: at.Filename, Line: at.Line, Column: at.Column}
}

// tokenSlice is a lexer that returns tokens that were scanned before.
type tokenSlice struct {
	tokens []lexer.Token
	end    lexer.Position
}

// Next returns the next token, or the end-of-input token.
func (s *tokenSlice) Next() (lexer.Token, error) {
	if len(s.tokens) == 0 {
		return lexer.EOFToken(s.end), nil
	}
	token := s.tokens[0]
	s.tokens = s.tokens[1:]
	return token, nil
}

var _ lexer.Lexer = (*tokenSlice)(nil)
