package server

import (
	"net/http"

	"github.com/labstack/echo/v4"
)

type healthAnswer struct {
	Status string
	Reason string `json:",omitempty"`
}

// getLive reports Live as long as the process serves HTTP.
func getLive(c echo.Context) error {
	return c.JSON(http.StatusOK, healthAnswer{Status: "Live"})
}

// getReady reports whether the instance takes new work, and if not, why.
func (s *Server) getReady(c echo.Context) error {
	if err := s.Ready(); err != nil {
		return c.JSON(http.StatusServiceUnavailable, healthAnswer{Status: "NotReady", Reason: err.Error()})
	}
	return c.JSON(http.StatusOK, healthAnswer{Status: "Ready"})
}
