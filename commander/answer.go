package commander

import (
	"context"
	"errors"
	"net/http"

	"jujubegate.example/jujubegate"
	"jujubegate.example/jujubegate/configurator"
	"jujubegate.example/jujubegate/parser"
)

// HandleRequest runs a request on a follower and returns the response with its HTTP
// status. The rows of Show Instances come from the function, which may be nil.
func HandleRequest(
	ctx context.Context, f *configurator.Follower, r Request, instances func() [][]string,
) (int, Response) {
	batch, findings := parser.Parse(r.File, r.Statements)
	if len(findings) > 0 {
		return refuse(findings)
	}
	g, err := f.Submit(ctx, configurator.Proposal{
		Statements: r.Statements, File: r.File, Author: r.Author, Token: r.Token, DryRun: r.DryRun,
	})
	if err != nil {
		return refuse(err)
	}
	response := Response{Generation: g}
	current := f.Current()
	for _, s := range batch {
		result := Result{Kind: KindAccepted, Statement: s.String()}
		if show, ok := s.(*parser.Show); ok {
			table := current.Show(show, instances)
			result.Kind, result.Columns, result.Rows = KindTable, table.Columns, table.Rows
		}
		response.Results = append(response.Results, result)
	}
	return http.StatusOK, response
}

// refuse returns the response to a request that failed.
func refuse(err error) (int, Response) {
	var findings jujubegate.Findings
	var conflict *configurator.ConflictError
	var unavailable *configurator.UnavailableError
	var unknown *configurator.OutcomeUnknownError
	switch {
	case errors.As(err, &findings):
		return http.StatusUnprocessableEntity, Response{
			Findings: NewFindings(findings),
			Error:    &Error{Code: CodeBadStatement, Message: "statements have findings; nothing was changed"},
		}
	case errors.As(err, &conflict):
		return http.StatusConflict, Response{
			Generation: conflict.Generation, Error: &Error{Code: CodeConflict, Message: err.Error()},
		}
	case errors.As(err, &unavailable):
		return http.StatusServiceUnavailable, Response{
			Error: &Error{Code: CodeStoreUnavailable, Message: err.Error()},
		}
	case errors.As(err, &unknown):
		return http.StatusGatewayTimeout, Response{
			Generation: unknown.Generation, Error: &Error{Code: CodeOutcomeUnknown, Message: err.Error()},
		}
	}
	return http.StatusInternalServerError, Response{Error: &Error{Code: CodeOutcomeUnknown, Message: err.Error()}}
}
