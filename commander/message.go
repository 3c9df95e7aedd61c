// Package commander implements the operators' command line and HTTP API: it sends
// statements to an entry instance, handles them there and prints the responses.
package commander

import (
	"jujubegate.example/jujubegate"
)

// Paths of the operators' HTTP API.
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
	// File is the file name that findings give.
	File string
	// Token identifies the request, so that a repeated one is accepted only once.
	Token string
}

// Kinds of results.
const (
	KindTable    = "Table"
	KindAccepted = "Accepted"
)

// Result is the result of one statement.
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

// Error is the reason why statements were not accepted.
type Error struct {
	Code    Code
	Message string
}

// Error returns the message.
func (e *Error) Error() string { return e.Message }

// Response is the body of the response to a Request.
type Response struct {
	// Generation is the generation of the accepted change, or the current one if
	// nothing was changed.
	Generation jujubegate.Generation
	Results    []Result  `json:",omitempty"`
	Findings   []Finding `json:",omitempty"`
	Error      *Error    `json:",omitempty"`
}

// InForce is the body of the response to a GET of InForcePath.
type InForce struct {
	// InForce is true if every instance has applied the generation or takes no new
	// work.
	InForce bool
	// Confirmed lists the instances that have applied the generation.
	Confirmed []jujubegate.Instance
	// Expired lists the instances whose lease has expired.
	Expired []jujubegate.Instance
	// Missing lists the instances that may still use an older generation.
	Missing []jujubegate.Instance
}

// NewFindings converts findings for a response.
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
