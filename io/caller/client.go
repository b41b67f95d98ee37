package caller

import (
	"bytes"
	"encoding/json"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/google/uuid"
	"github.com/valyala/fasthttp"
)

const (
	defaultLifetime = 30 * time.Second
	answerSlack     = 2 * time.Second
	maxAnswerBytes  = 1 << 30
)

// Client sends requests to one entry.
type Client struct {
	base  string
	token string
	http  *fasthttp.Client
}

// New returns a client of the entry at base, such as http://127.0.0.1:8080; with an empty token it sends no authorization.
func New(base, token string) *Client {
	return &Client{base: base, token: token, http: &fasthttp.Client{
		NoDefaultUserAgentHeader: true, MaxResponseBodySize: maxAnswerBytes, MaxIdemponentCallAttempts: 1,
	}}
}

// FillDefaults completes a job in the form of the public API: an id, a time of issue and a deadline where they are missing.
func FillDefaults(text []byte, now time.Time) ([]byte, time.Time, error) {
	var fields map[string]json.RawMessage
	if err := json.Unmarshal(text, &fields); err != nil {
		return nil, time.Time{}, syntaxError(text, err)
	}
	if fields == nil {
		return nil, time.Time{}, errors.New("body: null where an object is expected")
	}
	deadline := now.Add(defaultLifetime)
	if given, ok := fields["deadline"]; ok {
		if err := json.Unmarshal(given, &deadline); err != nil {
			return nil, time.Time{}, errors.Wrap(err, "deadline: not an RFC 3339 time")
		}
	}
	var missing []string
	for _, f := range []struct{ key, value string }{
		{"id", uuid.Must(uuid.NewV7()).String()},
		{"issued", now.UTC().Format(time.RFC3339Nano)},
		{"deadline", deadline.UTC().Format(time.RFC3339Nano)},
	} {
		if _, ok := fields[f.key]; !ok {
			missing = append(missing, strconv.Quote(f.key)+": "+strconv.Quote(f.value))
		}
	}
	return insert(text, missing, len(fields) > 0), deadline, nil
}

// insert adds members at the start of a JSON object and keeps the rest of its text, so that the entry checks it as written.
func insert(object []byte, members []string, more bool) []byte {
	if len(members) == 0 {
		return object
	}
	if more {
		members = append(members, "")
	}
	begin := bytes.IndexByte(object, '{') + 1
	return slices.Concat(object[:begin], []byte(strings.Join(members, ", ")), object[begin:])
}

// syntaxError returns an error with the line at which the JSON is invalid.
func syntaxError(text []byte, err error) error {
	var syntax *json.SyntaxError
	if !errors.As(err, &syntax) {
		return errors.New("body: not a JSON object")
	}
	before := text[:min(max(syntax.Offset-1, 0), int64(len(text)))]
	return errors.Newf("body: line %d: not valid JSON: %s", 1+bytes.Count(before, []byte{'\n'}), syntax.Error())
}

// Submit posts a job and waits for its answer until answerSlack after the deadline, or after now if the deadline has passed.
func (c *Client) Submit(body []byte, deadline time.Time) (status int, answer []byte, err error) {
	if now := time.Now(); deadline.Before(now) {
		deadline = now
	}
	return c.Do(fasthttp.MethodPost, "/v1/jobs", body, deadline.Add(answerSlack))
}

// Do sends one request and waits for its answer until the deadline.
func (c *Client) Do(method, path string, body []byte, deadline time.Time) (status int, answer []byte, err error) {
	req, resp := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(req)
	defer fasthttp.ReleaseResponse(resp)
	req.Header.SetMethod(method)
	req.SetRequestURI(c.base + path)
	if c.token != "" {
		req.Header.Set(fasthttp.HeaderAuthorization, "Bearer "+c.token)
	}
	req.SetBodyRaw(body)
	req.SetConnectionClose()
	if err := c.http.DoDeadline(req, resp, deadline); err != nil {
		return 0, nil, errors.Wrapf(err, "entry %s", c.base)
	}
	return resp.StatusCode(), append([]byte(nil), resp.Body()...), nil
}
