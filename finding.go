package jujubegate

import (
	"fmt"
	"strings"
)

// Position is a location in a text. Lines and columns count from 1.
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

// Finding is one problem in the input, with its position.
type Finding struct {
	Position Position
	Message  string
}

// String returns the position and the message.
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

// Err returns the findings as an error, or nil if there are none.
func (fs Findings) Err() error {
	if len(fs) == 0 {
		return nil
	}
	return fs
}
