package launcher

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"

	"github.com/samber/oops"
)

// sendJSON sends a request with an optional JSON body and decodes the answer into
// value unless that is nil.
func sendJSON(ctx context.Context, method, url string, body, value any) error {
	var reader io.Reader = http.NoBody
	if body != nil {
		encoded, err := json.Marshal(body)
		if err != nil {
			return oops.In("launcher").Wrap(err)
		}
		reader = bytes.NewReader(encoded)
	}
	request, err := http.NewRequestWithContext(ctx, method, url, reader)
	if err != nil {
		return oops.In("launcher").Wrap(err)
	}
	request.Header.Set("Content-Type", "application/json")
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return oops.In("launcher").Wrap(err)
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusOK && response.StatusCode != http.StatusNoContent {
		detail, _ := io.ReadAll(io.LimitReader(response.Body, 1<<10))
		return oops.In("launcher").Errorf("%s %s: status %d: %s", method, url, response.StatusCode, detail)
	}
	if value == nil {
		return nil
	}
	return oops.In("launcher").Wrap(json.NewDecoder(response.Body).Decode(value))
}
