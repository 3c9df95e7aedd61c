package abuse

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
)

// readAnswer reads one answer and returns an error unless its status is 200.
func readAnswer(conn net.Conn) error {
	answer, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		return err
	}
	defer answer.Body.Close()
	body, err := io.ReadAll(answer.Body)
	if err != nil {
		return err
	}
	if answer.StatusCode != http.StatusOK {
		return fmt.Errorf("status %d: %s", answer.StatusCode, body)
	}
	return nil
}
