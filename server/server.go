// Package server implements the HTTP API for callers and operators.
package server

import (
	"context"
	"fmt"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/labstack/echo/v4"
	"github.com/labstack/echo/v4/middleware"
	"go.uber.org/zap"

	"jujubegate.example/jujubegate"
	"jujubegate.example/jujubegate/acceptor"
	"jujubegate.example/jujubegate/asker"
	"jujubegate.example/jujubegate/commander"
)

// Limits of connections to the HTTP API.
const (
	readHeaderTimeout = 5 * time.Second
	readTimeout       = 30 * time.Second
	idleTimeout       = 2 * time.Minute
	maxHeaderBytes    = 16 << 10
	// overloadRetryAfter is the time after which a caller may repeat a request that
	// was refused because too many were in flight.
	overloadRetryAfter = 100 * time.Millisecond
)

// Server serves the HTTP API by calling the function fields, which the daemon
// sets.
type Server struct {
	Query      func(ctx context.Context, request asker.QueryRequest) (asker.QueryAnswer, *jujubegate.Refusal)
	Order      func(ctx context.Context, request asker.OrderRequest) (asker.OrderAnswer, *jujubegate.Refusal)
	Outcome    func(ctx context.Context, service jujubegate.Service, id string) (asker.OrderAnswer, *jujubegate.Refusal)
	Addresses  func(dataCentre jujubegate.DataCentre, caller jujubegate.Caller) asker.AddressesAnswer
	Statements func(ctx context.Context, request commander.Request) (int, commander.Response)
	InForce    func(ctx context.Context, generation jujubegate.Generation) commander.InForce
	// Refusing returns the refusal for all new work while the instance leaves, else
	// nil.
	Refusing func() *jujubegate.Refusal
	// MaxInFlight bounds the queries and orders served at once.
	MaxInFlight int64
	// Ready returns why the instance takes no new work, or nil if it does.
	Ready func() error
	// Vars serves /debug/vars.
	Vars http.Handler

	logger   *zap.Logger
	inFlight atomic.Int64
}

// New returns a server whose function fields are not set.
func New(logger *zap.Logger) *Server { return &Server{logger: logger} }

// InFlight returns the number of queries and orders being served.
func (s *Server) InFlight() int64 { return s.inFlight.Load() }

// Handler returns the handler of the HTTP API. It refuses bodies larger than
// maxBodyBytes.
func (s *Server) Handler(maxBodyBytes int64) http.Handler {
	e := echo.New()
	e.HideBanner = true
	e.HidePort = true
	e.HTTPErrorHandler = s.handleError
	e.Use(middleware.Recover())
	e.Use(limitBody(maxBodyBytes))
	e.POST(asker.QueryPath, s.postQuery, s.admit)
	e.POST(asker.OrderPath, s.postOrder, s.admit)
	e.GET(asker.OrderPath+"/:service/:id", s.getOrder)
	e.GET(asker.AddressesPath, s.getAddresses)
	e.POST(commander.StatementsPath, s.postStatements)
	e.GET(commander.InForcePath, s.getInForce)
	e.GET("/live", getLive)
	e.GET("/ready", s.getReady)
	e.GET("/debug/vars", echo.WrapHandler(s.Vars))
	return e
}

// ClientLimits returns the limits on callers of the HTTP API.
func ClientLimits() acceptor.Limits {
	return acceptor.Limits{HeadBytes: maxHeaderBytes, HeadTime: readHeaderTimeout, BodyTime: readTimeout, IdleTime: idleTimeout}
}

func limitBody(limit int64) echo.MiddlewareFunc {
	return func(next echo.HandlerFunc) echo.HandlerFunc {
		return func(c echo.Context) error {
			r := c.Request()
			r.Body = http.MaxBytesReader(c.Response(), r.Body, limit)
			return next(c)
		}
	}
}

// admit counts requests in flight. It refuses new ones above MaxInFlight and
// while the instance leaves. A request is counted before the check: once all new
// work is refused, a count of 0 means that no accepted request is left.
func (s *Server) admit(next echo.HandlerFunc) echo.HandlerFunc {
	return func(c echo.Context) error {
		running := s.inFlight.Add(1)
		defer s.inFlight.Add(-1)
		if running > s.MaxInFlight {
			return s.refuse(c, &jujubegate.Refusal{
				Reason:     jujubegate.Overloaded,
				Outcome:    jujubegate.NotRun,
				RetryAfter: overloadRetryAfter,
				Detail:     fmt.Sprintf("instance serves %d requests already", s.MaxInFlight),
			})
		}
		if refusal := s.Refusing(); refusal != nil {
			c.Response().Header().Set("Connection", "close")
			return s.refuse(c, refusal)
		}
		return next(c)
	}
}
