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
	_, err = readBody(answer)
	return err
}

// readBody returns the body of an answer, or an error unless its status is 200.
func readBody(answer *http.Response) ([]byte, error) {
	defer answer.Body.Close()
	body, err := io.ReadAll(answer.Body)
	if err != nil {
		return nil, err
	}
	if answer.StatusCode != http.StatusOK {
		return nil, fmt.Errorf("status %d: %s", answer.StatusCode, body)
	}
	return body, nil
}
