package parser

import "jujubegate.example/jujubegate"

// Format returns the text in canonical layout with all comments.
func Format(text string) (string, jujubegate.Findings) {
	statements, findings := Parse("", text)
	if len(findings) > 0 {
		return text, findings
	}
	return Join(statements), nil
}
