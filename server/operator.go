package server

import (
	"net/http"
	"strconv"

	"github.com/labstack/echo/v4"

	"jujubegate.example/jujubegate"
	"jujubegate.example/jujubegate/commander"
)

func (s *Server) postStatements(c echo.Context) error {
	var request commander.Request
	if refusal := decodeBody(c, &request); refusal != nil {
		return s.refuse(c, refusal)
	}
	status, response := s.Statements(c.Request().Context(), request)
	return c.JSON(status, response)
}

func (s *Server) getInForce(c echo.Context) error {
	text := c.QueryParam(commander.GenerationParameter)
	generation, err := strconv.ParseInt(text, 10, 64)
	if err != nil || generation < 0 {
		return s.refuse(c, badRequest("parameter %s is %q, must be a generation", commander.GenerationParameter, text))
	}
	return c.JSON(http.StatusOK, s.InForce(c.Request().Context(), jujubegate.Generation(generation)))
}
