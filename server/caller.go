package server

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/labstack/echo/v4"
	"go.uber.org/zap"

	"jujubegate.example/jujubegate"
	"jujubegate.example/jujubegate/acceptor"
	"jujubegate.example/jujubegate/asker"
)

func (s *Server) postQuery(c echo.Context) error {
	var request asker.QueryRequest
	if refusal := decodeBody(c, &request); refusal != nil {
		return s.refuse(c, refusal)
	}
	if refusal := checkTimeout(request.TimeoutMs); refusal != nil {
		return s.refuse(c, refusal)
	}
	answer, refusal := s.Query(c.Request().Context(), request)
	if refusal != nil {
		return s.refuse(c, refusal)
	}
	return c.JSON(http.StatusOK, answer)
}

func (s *Server) postOrder(c echo.Context) error {
	var request asker.OrderRequest
	if refusal := decodeBody(c, &request); refusal != nil {
		return s.refuse(c, refusal)
	}
	if refusal := checkTimeout(request.TimeoutMs); refusal != nil {
		return s.refuse(c, refusal)
	}
	answer, refusal := s.Order(c.Request().Context(), request)
	if refusal != nil {
		return s.refuse(c, refusal)
	}
	return c.JSON(http.StatusOK, answer)
}

func (s *Server) getOrder(c echo.Context) error {
	service := jujubegate.Service(c.Param("service"))
	answer, refusal := s.Outcome(c.Request().Context(), service, c.Param("id"))
	if refusal != nil {
		return s.refuse(c, refusal)
	}
	return c.JSON(http.StatusOK, answer)
}

func (s *Server) getAddresses(c echo.Context) error {
	dataCentre := jujubegate.DataCentre(c.QueryParam("DataCentre"))
	caller := jujubegate.Caller(c.QueryParam("Caller"))
	return c.JSON(http.StatusOK, s.Addresses(dataCentre, caller))
}

// maxTimeout bounds the timeout that a caller may request.
const maxTimeout = 10 * time.Minute

func checkTimeout(timeoutMs int64) *jujubegate.Refusal {
	if timeoutMs < 0 || timeoutMs > maxTimeout.Milliseconds() {
		return badRequest("TimeoutMs is %d, must be 0 to %d", timeoutMs, maxTimeout.Milliseconds())
	}
	return nil
}

// decodeBody decodes a body of one JSON value. It refuses unknown fields and
// trailing data, and reports the byte offset of an error.
func decodeBody(c echo.Context, value any) *jujubegate.Refusal {
	decoder := json.NewDecoder(c.Request().Body)
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(value); err != nil {
		return describeDecodeError(decoder, err)
	}
	if _, err := decoder.Token(); !errors.Is(err, io.EOF) {
		return badRequest("body: data after the JSON value at offset %d", decoder.InputOffset())
	}
	return nil
}

func describeDecodeError(decoder *json.Decoder, err error) *jujubegate.Refusal {
	var syntax *json.SyntaxError
	var mismatch *json.UnmarshalTypeError
	var tooLarge *http.MaxBytesError
	switch {
	case errors.Is(err, acceptor.ErrNoMemory):
		return &jujubegate.Refusal{
			Reason: jujubegate.Overloaded, Outcome: jujubegate.NotRun, RetryAfter: overloadRetryAfter,
			Detail: "body: no memory at present",
		}
	case errors.As(err, &syntax):
		return badRequest("body: %v at offset %d", err, syntax.Offset)
	case errors.As(err, &mismatch):
		return badRequest("body: field %q is a %s, must be a %s, at offset %d",
			mismatch.Field, mismatch.Value, mismatch.Type, mismatch.Offset)
	case errors.As(err, &tooLarge):
		return badRequest("body: larger than %d bytes", tooLarge.Limit)
	default:
		return badRequest("body: %v at offset %d", err, decoder.InputOffset())
	}
}

func badRequest(format string, args ...any) *jujubegate.Refusal {
	return &jujubegate.Refusal{
		Reason:  jujubegate.BadRequest,
		Outcome: jujubegate.NotRun,
		Detail:  fmt.Sprintf(format, args...),
	}
}

// statusByReason holds the HTTP status of refusals; other reasons give 503.
var statusByReason = map[jujubegate.Reason]int{
	jujubegate.BadRequest:     http.StatusBadRequest,
	jujubegate.UnknownService: http.StatusNotFound,
	jujubegate.UnknownRoute:   http.StatusNotFound,
	jujubegate.Duplicate:      http.StatusConflict,
	jujubegate.Expired:        http.StatusGone,
	jujubegate.Overloaded:     http.StatusTooManyRequests,
	jujubegate.Shed:           http.StatusTooManyRequests,
	jujubegate.DeadlinePassed: http.StatusGatewayTimeout,
}

// refuse writes a refusal as the response. A caller may repeat a request refused
// with 503 at another instance if the outcome is NotRun.
func (s *Server) refuse(c echo.Context, refusal *jujubegate.Refusal) error {
	status, ok := statusByReason[refusal.Reason]
	if !ok {
		status = http.StatusServiceUnavailable
	}
	if refusal.RetryAfter > 0 {
		seconds := int64((refusal.RetryAfter + time.Second - 1) / time.Second)
		c.Response().Header().Set("Retry-After", strconv.FormatInt(seconds, 10))
	}
	body := asker.RefusalBody{
		Reason:       refusal.Reason,
		Outcome:      refusal.Outcome.String(),
		RetryAfterMs: refusal.RetryAfter.Milliseconds(),
		Detail:       refusal.Detail,
	}
	if refusal.Reason == jujubegate.Leaving || refusal.Reason == jujubegate.Isolated {
		body.Addresses = s.Addresses("", "").Addresses
	}
	s.logger.Debug("server: request refused", zap.String("path", c.Path()), zap.Error(refusal))
	return c.JSON(status, body)
}

// handleError writes an error of the HTTP layer with the same body as a refusal.
// The outcome is NotRun for client errors and Unknown for a failed handler.
func (s *Server) handleError(err error, c echo.Context) {
	if c.Response().Committed {
		return
	}
	status, outcome := http.StatusInternalServerError, jujubegate.Unknown
	var httpError *echo.HTTPError
	if errors.As(err, &httpError) && httpError.Code < http.StatusInternalServerError {
		status, outcome = httpError.Code, jujubegate.NotRun
	}
	body := asker.RefusalBody{Reason: jujubegate.BadRequest, Outcome: outcome.String(), Detail: err.Error()}
	if status == http.StatusInternalServerError {
		body.Reason = jujubegate.TargetError
		s.logger.Error("server: handler failed", zap.String("path", c.Path()), zap.Error(err))
	}
	if err := c.JSON(status, body); err != nil {
		s.logger.Debug("server: response cannot be written", zap.Error(err))
	}
}
