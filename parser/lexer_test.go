package parser

import (
	"testing"

	"github.com/alecthomas/participle/v2/lexer"
	"pgregory.net/rapid"
)

// referenceRules specifies the lexer by regular expressions.
var referenceRules = lexer.MustSimple([]lexer.SimpleRule{
	{Name: "Space", Pattern: `[ \t\r\n\f]+`},
	{Name: "Comment", Pattern: `#[^\n]*`},
	{Name: "String", Pattern: `"(\\.|[^"\\\n])*"`},
	{Name: "Ident", Pattern: `[\p{L}_][\p{L}\p{N}_-]*`},
	{Name: "Punct", Pattern: `[{}=;.]|!=`},
	{Name: "Time", Pattern: `\d{4}-\d\d-\d\dT\d\d:\d\d:\d\d(\.\d+)?(Z|[+-]\d\d:\d\d)`},
	{Name: "Duration", Pattern: `(\d+(\.\d+)?(ns|us|µs|ms|s|m|h))+`},
	{Name: "Int", Pattern: `-?\d+`},
	{Name: "BadString", Pattern: `"[^\n]*`},
	{Name: "Invalid", Pattern: `.`},
})

func TestScannerMatchesRules(t *testing.T) {
	// Guards against a scanner whose tokens or positions differ from those of
	// referenceRules.
	names := lexer.SymbolsByRune(definition{})
	ruleNames := lexer.SymbolsByRune(referenceRules)
	pieces := rapid.OneOf(
		rapid.SampledFrom([]string{
			" ", "\n", "\r", "\t", "#c", "\"", "\\", "\"a\"", "a", "Größe", "µs", "_", "-", "-1", "12", ".", "5", "!", "!=",
			"=", "{", "}", ";", "1h", "2.5ms", "m", "s", "2026-12-04T12:00:00", "Z", "+02:00", "T", ":", "2026-12-04T12:00:00.5Z",
			"\u2028", "½", "٣", "é",
		}),
		rapid.StringOfN(rapid.RuneFrom([]rune(`0123456789-T:.Z+ "#\n`)), 1, 6, -1),
	)
	rapid.Check(t, func(t *rapid.T) {
		text := ""
		for _, piece := range rapid.SliceOfN(pieces, 0, 12).Draw(t, "pieces") {
			text += piece
		}
		expected, err := referenceRules.LexString("f", text)
		if err != nil {
			t.Fatal(err)
		}
		scanner := newScanner("f", text)
		for {
			want, err := expected.Next()
			if err != nil {
				t.Fatal(err)
			}
			if ruleNames[want.Type] == "Space" {
				continue
			}
			got, _ := scanner.Next()
			if names[got.Type] != ruleNames[want.Type] || got.Value != want.Value || got.Pos != want.Pos {
				t.Fatalf("%q: got %s %v, want %s %v", text, names[got.Type], got, ruleNames[want.Type], want)
			}
			if want.EOF() {
				return
			}
		}
	})
}
