// Package server offers the HTTP API to callers and operators.
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
	"jujubegate.example/jujubegate/asker"
	"jujubegate.example/jujubegate/commander"
)

// Limits of connections to the HTTP API.
const (
	readHeaderTimeout = 5 * time.Second
	readTimeout       = 30 * time.Second
	idleTimeout       = 2 * time.Minute
	maxHeaderBytes    = 16 << 10
	// overloadPause is the advised wait after a refusal for too many requests.
	overloadPause = 100 * time.Millisecond
)

// Server holds the handlers. The function fields are set by the daemon.
type Server struct {
	Query      func(ctx context.Context, request asker.QueryRequest) (asker.QueryAnswer, *jujubegate.Refusal)
	Order      func(ctx context.Context, request asker.OrderRequest) (asker.OrderAnswer, *jujubegate.Refusal)
	Outcome    func(ctx context.Context, service jujubegate.Service, id string) (asker.OrderAnswer, *jujubegate.Refusal)
	Addresses  func(dataCentre jujubegate.DataCentre, caller jujubegate.Caller) asker.AddressesAnswer
	Statements func(ctx context.Context, request commander.Request) (int, commander.Response)
	InForce    func(ctx context.Context, generation jujubegate.Generation) commander.InForce
	// Refusing returns the refusal of all new work while the instance leaves, else nil.
	Refusing func() *jujubegate.Refusal
	// MaxInFlight is the number of queries and orders served at once.
	MaxInFlight int64
	// Ready returns why the instance takes no work, or nil.
	Ready func() error
	// Vars answers /debug/vars.
	Vars http.Handler

	logger   *zap.Logger
	inFlight atomic.Int64
}

// New returns a server without handlers.
func New(logger *zap.Logger) *Server { return &Server{logger: logger} }

// InFlight returns the number of queries and orders being served.
func (s *Server) InFlight() int64 { return s.inFlight.Load() }

// Handler returns the HTTP handler; bodies larger than maxBodyBytes are refused.
func (s *Server) Handler(maxBodyBytes int64) http.Handler {
	e := echo.New()
	e.HideBanner = true
	e.HidePort = true
	e.HTTPErrorHandler = s.handleError
	e.Use(middleware.Recover())
	e.Use(limitBody(maxBodyBytes))
	e.POST(asker.QueryPath, s.postQuery, s.countWork)
	e.POST(asker.OrderPath, s.postOrder, s.countWork)
	e.GET(asker.OrderPath+"/:service/:id", s.getOrder)
	e.GET(asker.AddressesPath, s.getAddresses)
	e.POST(commander.StatementsPath, s.postStatements)
	e.GET(commander.InForcePath, s.getInForce)
	e.GET("/live", getLive)
	e.GET("/ready", s.getReady)
	e.GET("/debug/vars", echo.WrapHandler(s.Vars))
	return e
}

// HTTPServer returns a server with the time limits of the caller API.
func HTTPServer(handler http.Handler) *http.Server {
	return &http.Server{
		Handler:           handler,
		ReadHeaderTimeout: readHeaderTimeout,
		ReadTimeout:       readTimeout,
		IdleTimeout:       idleTimeout,
		MaxHeaderBytes:    maxHeaderBytes,
	}
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

// countWork refuses new work while the instance leaves. The request is counted
// before the check, so that a drain that saw a count of 0 after the refusals
// began has missed no request.
func (s *Server) countWork(next echo.HandlerFunc) echo.HandlerFunc {
	return func(c echo.Context) error {
		running := s.inFlight.Add(1)
		defer s.inFlight.Add(-1)
		if running > s.MaxInFlight {
			return s.refuse(c, &jujubegate.Refusal{
				Reason:     jujubegate.Overloaded,
				Outcome:    jujubegate.NotRun,
				RetryAfter: overloadPause,
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
