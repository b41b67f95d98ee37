package verb

import (
	"encoding/json"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/urfave/cli/v3"
)

const adminRoot = "/v1/admin/"

// fetch requests a resource of the administration API, decodes it into out and returns the raw body.
func fetch(c *cli.Command, name string, out any) ([]byte, error) {
	a := newAdminClient(c)
	status, body, err := a.client.Do(http.MethodGet, adminRoot+name, nil, time.Now().Add(a.limit))
	if err != nil {
		return nil, err
	}
	if status != statusOK {
		return nil, refusalError(status, body)
	}
	return body, json.Unmarshal(body, out)
}

// refusalError converts an entry's refusal to an error.
func refusalError(status int, body []byte) error {
	var refusal struct {
		Reason string `json:"reason"`
	}
	if err := json.Unmarshal(body, &refusal); err != nil || refusal.Reason == "" {
		return errors.Newf("answer %d: %s", status, body)
	}
	return errors.Newf("answer %d: %s", status, refusal.Reason)
}
