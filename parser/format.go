package parser

import (
	"strings"
	"unicode"
	"unicode/utf8"

	"github.com/alecthomas/participle/v2/lexer"

	"jujubegate.example/jujubegate"
)

const (
	// maxLineLength is the longest line in characters that a statement may take; a
	// longer statement is broken into one line for each field.
	maxLineLength = 130
	indent        = "  "
)

// Format returns the text in canonical layout. It keeps all comments and
// reduces consecutive blank lines between statements to one. Formatting is
// idempotent. A text with findings is returned unchanged.
func Format(text string) (string, jujubegate.Findings) {
	if _, findings := Parse("", text); len(findings) > 0 {
		return text, findings
	}
	tokens, findings := scan("", text)
	if len(findings) > 0 {
		return text, findings
	}
	var f formatter
	for len(tokens) > 0 && !tokens[0].EOF() {
		if tokens[0].Type == commentType {
			f.writeComment(tokens[0])
			tokens = tokens[1:]
			continue
		}
		n := statementLength(tokens)
		if n > 1 { // omits empty statements
			f.writeStatement(tokens[:n])
		}
		tokens = tokens[n:]
	}
	if f.lastLine > 0 {
		f.out.WriteString("\n")
	}
	return f.out.String(), nil
}

// statementLength returns the number of tokens of the first statement, with
// its final semicolon.
func statementLength(tokens []lexer.Token) int {
	depth := 0
	for i, t := range tokens {
		switch t.Value {
		case "{":
			depth++
		case "}":
			depth--
		case ";":
			if depth == 0 {
				return i + 1
			}
		}
	}
	return len(tokens)
}

// formatter writes statements and the comments between them.
type formatter struct {
	out strings.Builder
	// lastLine is the source line on which the previous item ends, 0 if there
	// is none.
	lastLine int
}

// startItem writes the line breaks between the previous item and the one that
// begins at the given source line.
func (f *formatter) startItem(line int) {
	if f.lastLine > 0 {
		f.out.WriteString("\n")
	}
	if f.lastLine > 0 && line > f.lastLine+1 {
		f.out.WriteString("\n")
	}
}

func (f *formatter) writeComment(t lexer.Token) {
	if f.lastLine > 0 && t.Pos.Line == f.lastLine {
		f.out.WriteString(" " + commentText(t))
		return
	}
	f.startItem(t.Pos.Line)
	f.out.WriteString(commentText(t))
	f.lastLine = t.Pos.Line
}

func commentText(t lexer.Token) string { return strings.TrimRightFunc(t.Value, unicode.IsSpace) }

func (f *formatter) writeStatement(tokens []lexer.Token) {
	f.startItem(tokens[0].Pos.Line)
	l := layout{}
	text := l.write(tokens)
	if strings.Contains(text, "\n") || utf8.RuneCountInString(text) > maxLineLength {
		l = layout{broken: true}
		text = l.write(tokens)
	}
	f.out.WriteString(text)
	f.lastLine = tokens[len(tokens)-1].Pos.Line
}

// layout writes the tokens of one statement. If broken is set, each field is on
// its own line. A comment always ends its line.
type layout struct {
	broken bool

	out   strings.Builder
	depth int
	// pendingNewline is set if the next token begins a line.
	pendingNewline bool
	// previous is the last token that is not a comment.
	previous lexer.Token
	// previousLine is the source line of the previous token.
	previousLine int
}

func (l *layout) write(tokens []lexer.Token) string {
	for i, t := range tokens {
		if t.Type == commentType {
			l.writeComment(t)
		} else {
			l.writeToken(t, i == 0)
		}
		l.previousLine = t.Pos.Line
	}
	return l.out.String()
}

func (l *layout) writeComment(t lexer.Token) {
	if t.Pos.Line == l.previousLine {
		l.out.WriteString(" ")
	} else {
		l.startLine()
	}
	l.out.WriteString(commentText(t))
	l.pendingNewline = true
}

// startLine begins a line. A continuation line of a field or of the statement's
// head is indented one level deeper.
func (l *layout) startLine() {
	depth := l.depth
	switch l.previous.Value {
	case "{", ";", "}":
	default:
		depth++
	}
	l.out.WriteString("\n" + strings.Repeat(indent, depth))
}

func (l *layout) writeToken(t lexer.Token, first bool) {
	if t.Value == "}" {
		l.depth--
	}
	switch {
	case first:
	case l.pendingNewline:
		l.startLine()
	case t.Value != ";" && t.Value != "." && l.previous.Value != ".":
		l.out.WriteString(" ")
	}
	l.pendingNewline = false
	l.out.WriteString(t.Value)
	l.previous = t
	if t.Value == "{" {
		l.depth++
	}
	if l.broken && (t.Value == "{" || t.Value == ";" && l.depth > 0) {
		l.pendingNewline = true
	}
}
