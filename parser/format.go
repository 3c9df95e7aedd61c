package parser

import (
	"strings"
	"unicode"
	"unicode/utf8"

	"github.com/alecthomas/participle/v2/lexer"

	"jujubegate.example/jujubegate"
)

const (
	// maxLine is the largest number of characters of a statement on one line;
	// a longer one has a line for each field.
	maxLine = 130
	indent  = "  "
)

// Format returns the text in canonical layout. It keeps all comments, and at
// most one of several blank lines between statements. Formatting the result
// again changes nothing. A text with findings is returned as it is.
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
			f.comment(tokens[0])
			tokens = tokens[1:]
			continue
		}
		n := statementLength(tokens)
		if n > 1 { // an empty statement is left out
			f.statement(tokens[:n])
		}
		tokens = tokens[n:]
	}
	if f.last > 0 {
		f.out.WriteString("\n")
	}
	return f.out.String(), nil
}

// statementLength returns the number of tokens up to the final semicolon.
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
	// last is the source line on which the item before ends, 0 for none.
	last int
}

// begin separates an item from the one before.
func (f *formatter) begin(line int) {
	if f.last > 0 {
		f.out.WriteString("\n")
	}
	if f.last > 0 && line > f.last+1 {
		f.out.WriteString("\n")
	}
}

func (f *formatter) comment(t lexer.Token) {
	if f.last > 0 && t.Pos.Line == f.last {
		f.out.WriteString(" " + commentText(t))
		return
	}
	f.begin(t.Pos.Line)
	f.out.WriteString(commentText(t))
	f.last = t.Pos.Line
}

func commentText(t lexer.Token) string { return strings.TrimRightFunc(t.Value, unicode.IsSpace) }

func (f *formatter) statement(tokens []lexer.Token) {
	f.begin(tokens[0].Pos.Line)
	l := layout{}
	text := l.write(tokens)
	if strings.Contains(text, "\n") || utf8.RuneCountInString(text) > maxLine {
		l = layout{broken: true}
		text = l.write(tokens)
	}
	f.out.WriteString(text)
	f.last = tokens[len(tokens)-1].Pos.Line
}

// layout writes the tokens of one statement. If it is broken, each field has
// a line of its own. A comment always ends its line.
type layout struct {
	broken bool

	out   strings.Builder
	depth int
	// newline says that the next token begins a line.
	newline bool
	// before is the token before that is not a comment.
	before lexer.Token
	// line is the source line of the token before.
	line int
}

func (l *layout) write(tokens []lexer.Token) string {
	for i, t := range tokens {
		if t.Type == commentType {
			l.comment(t)
		} else {
			l.token(t, i == 0)
		}
		l.line = t.Pos.Line
	}
	return l.out.String()
}

func (l *layout) comment(t lexer.Token) {
	if t.Pos.Line == l.line {
		l.out.WriteString(" ")
	} else {
		l.startLine()
	}
	l.out.WriteString(commentText(t))
	l.newline = true
}

// startLine begins a line; a line that continues a field or the words before
// the block is indented further.
func (l *layout) startLine() {
	depth := l.depth
	switch l.before.Value {
	case "{", ";", "}":
	default:
		depth++
	}
	l.out.WriteString("\n" + strings.Repeat(indent, depth))
}

func (l *layout) token(t lexer.Token, first bool) {
	if t.Value == "}" {
		l.depth--
	}
	switch {
	case first:
	case l.newline:
		l.startLine()
	case t.Value != ";" && t.Value != "." && l.before.Value != ".":
		l.out.WriteString(" ")
	}
	l.newline = false
	l.out.WriteString(t.Value)
	l.before = t
	if t.Value == "{" {
		l.depth++
	}
	if l.broken && (t.Value == "{" || t.Value == ";" && l.depth > 0) {
		l.newline = true
	}
}
