package commander

import (
	"context"
	"errors"
	"net/http"

	"jujubegate.example/jujubegate"
	"jujubegate.example/jujubegate/configurator"
	"jujubegate.example/jujubegate/parser"
)

// HandleRequest submits the statements of a request to a follower and returns the
// HTTP status and the response. The function instances returns the rows of Show
// Instances; it may be nil.
func HandleRequest(
	ctx context.Context, follower *configurator.Follower, request Request, instances func() [][]string,
) (int, Response) {
	statements, findings := parser.Parse(request.File, request.Statements)
	if len(findings) > 0 {
		return errorResponse(findings)
	}
	generation, err := follower.Submit(ctx, configurator.Proposal{
		Statements: request.Statements, File: request.File, Author: request.Author, Token: request.Token, DryRun: request.DryRun,
	})
	if err != nil {
		return errorResponse(err)
	}
	response := Response{Generation: generation}
	current := follower.Current()
	for _, s := range statements {
		result := Result{Kind: KindAccepted, Statement: s.String()}
		if show, ok := s.(*parser.Show); ok {
			table := current.Show(show, instances)
			result.Kind, result.Columns, result.Rows = KindTable, table.Columns, table.Rows
		}
		response.Results = append(response.Results, result)
	}
	return http.StatusOK, response
}

// errorResponse returns the HTTP status and the response to a request that
// failed.
func errorResponse(err error) (int, Response) {
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
