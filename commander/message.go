// Package commander sends statements to an entry instance and prints the
// answers.
package commander

import (
	"jujubegate.example/jujubegate"
)

// Paths of the operators' interface.
const (
	StatementsPath = "/v1/statements"
	InForcePath    = "/v1/inforce"
	// GenerationParameter is the query parameter of InForcePath.
	GenerationParameter = "Generation"
)

// Request is the body of a POST to StatementsPath.
type Request struct {
	Statements string
	Author     string
	// DryRun checks the statements without changing anything.
	DryRun bool
	// File names the text in findings.
	File string
	// Token identifies the request when it is sent again.
	Token string
}

// Kinds of results.
const (
	KindTable    = "Table"
	KindAccepted = "Accepted"
)

// Result is the answer to one statement.
type Result struct {
	Kind string
	// Statement is the statement in canonical form.
	Statement string     `json:",omitempty"`
	Columns   []string   `json:",omitempty"`
	Rows      [][]string `json:",omitempty"`
}

// Finding is one problem in the statements.
type Finding struct {
	File    string
	Line    int
	Column  int
	Message string
}

// Code is the kind of an error.
type Code string

// Codes of errors.
const (
	CodeConflict         Code = "Conflict"
	CodeStoreUnavailable Code = "StoreUnavailable"
	CodeOutcomeUnknown   Code = "OutcomeUnknown"
	CodeBadStatement     Code = "BadStatement"
)

// Error says why statements were not accepted.
type Error struct {
	Code    Code
	Message string
}

// Error returns the message.
func (e *Error) Error() string { return e.Message }

// Response is the answer to a Request.
type Response struct {
	// Generation holds the accepted change, or is the current one if nothing
	// was changed.
	Generation jujubegate.Generation
	Results    []Result  `json:",omitempty"`
	Findings   []Finding `json:",omitempty"`
	Error      *Error    `json:",omitempty"`
}

// InForce is the answer to a GET of InForcePath.
type InForce struct {
	// InForce is true if every instance has the generation or takes no new work.
	InForce bool
	// Confirmed lists the instances that have the generation.
	Confirmed []jujubegate.Instance
	// Expired lists those whose lease has expired.
	Expired []jujubegate.Instance
	// Missing lists those that may still work with an older generation.
	Missing []jujubegate.Instance
}

// NewFindings returns findings as parts of an answer.
func NewFindings(findings jujubegate.Findings) []Finding {
	list := make([]Finding, len(findings))
	for i, f := range findings {
		list[i] = Finding{File: f.Position.File, Line: f.Position.Line, Column: f.Position.Column, Message: f.Message}
	}
	return list
}

// String returns the finding as file:line:column: message.
func (f Finding) String() string {
	return jujubegate.Finding{
		Position: jujubegate.Position{File: f.File, Line: f.Line, Column: f.Column}, Message: f.Message,
	}.String()
}
