package jujubegate

import (
	"fmt"
	"strings"
)

// Position is a place in a text; line and column count from 1.
type Position struct {
	File   string
	Line   int
	Column int
}

// String returns the position as file:line:column.
func (p Position) String() string {
	file := p.File
	if file == "" {
		file = "<input>"
	}
	return fmt.Sprintf("%s:%d:%d", file, p.Line, p.Column)
}

// Finding is one problem in the input, with its place.
type Finding struct {
	Position Position
	Message  string
}

// String returns the place and the message.
func (f Finding) String() string { return f.Position.String() + ": " + f.Message }

// Findings is an error that reports several problems together.
type Findings []Finding

// Error returns one finding per line.
func (fs Findings) Error() string {
	lines := make([]string, len(fs))
	for i, f := range fs {
		lines[i] = f.String()
	}
	return strings.Join(lines, "\n")
}

// Err returns nil if there are no findings, else the findings.
func (fs Findings) Err() error {
	if len(fs) == 0 {
		return nil
	}
	return fs
}
