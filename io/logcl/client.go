package logcl

import (
	"context"
	"encoding/json"
	"net"
	"net/url"
	"strconv"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/valyala/fasthttp"
)

// The pool makes one attempt per call: fasthttp's own retry would append a record twice after a lost answer.

const (
	maxConns        = 64
	maxAnswerBytes  = 16 << 20
	dialTimeout     = 2 * time.Second
	maxIdleTime     = 30 * time.Second
	defaultTimeout  = 10 * time.Second
	singleAttempt   = 1
	maxReasonLength = 200
)

// Record is one record of a stream.
type Record struct {
	offset int64
	data   []byte
}

// NewRecord returns the record at an offset.
func NewRecord(offset int64, data []byte) Record { return Record{offset: offset, data: data} }

// Offset returns the position of the record in its stream, starting at 1.
func (r Record) Offset() int64 { return r.offset }

// Data returns the bytes that were appended.
func (r Record) Data() []byte { return r.data }

// Client calls the log service at one address; it is safe for concurrent use.
type Client struct {
	base string
	http *fasthttp.HostClient
}

// New returns a client of the log at addr ("IP:PORT").
func New(addr string) *Client {
	return &Client{
		base: "http://" + addr + "/v1/streams/",
		http: &fasthttp.HostClient{
			Addr:                      addr,
			Name:                      "persimmonstage",
			MaxConns:                  maxConns,
			MaxIdleConnDuration:       maxIdleTime,
			MaxIdemponentCallAttempts: singleAttempt,
			RetryIfErr:                func(*fasthttp.Request, int, error) (bool, bool) { return false, false },
			MaxResponseBodySize:       maxAnswerBytes,
			Dial: func(addr string) (net.Conn, error) {
				conn, err := net.DialTimeout("tcp", addr, dialTimeout)
				if err != nil {
					return nil, &dialError{cause: err}
				}
				return conn, nil
			},
		},
	}
}

// Close drops the idle connections.
func (c *Client) Close() { c.http.CloseIdleConnections() }

// Append adds a record and returns its offset; an *OutageError reports whether the record may have been added.
func (c *Client) Append(ctx context.Context, stream string, data []byte) (int64, error) {
	body, err := c.call(ctx, "append", fasthttp.MethodPost, c.records(stream), data)
	if err != nil {
		return 0, err
	}
	var out struct {
		Offset int64 `json:"offset"`
	}
	if err := json.Unmarshal(body, &out); err != nil {
		return 0, &OutageError{op: "append", maybeApplied: true, cause: err}
	}
	return out.Offset, nil
}

// Read returns up to limit records from an offset on (0: the oldest) and the offset of the next append. It waits up to wait for
// at least one record, and returns a *TruncatedError if records from the offset on were dropped.
func (c *Client) Read(ctx context.Context, stream string, from int64, limit int, wait time.Duration) ([]Record, int64, error) {
	query := url.Values{
		"from":    {strconv.FormatInt(from, 10)},
		"max":     {strconv.Itoa(limit)},
		"wait-ms": {strconv.FormatInt(wait.Milliseconds(), 10)},
	}
	body, err := c.call(ctx, "read", fasthttp.MethodGet, c.records(stream)+"?"+query.Encode(), nil)
	if err != nil {
		return nil, 0, err
	}
	var out struct {
		First   int64 `json:"first"`
		Next    int64 `json:"next"`
		Records []struct {
			Offset int64  `json:"offset"`
			Data   []byte `json:"data"`
		} `json:"records"`
	}
	if err := json.Unmarshal(body, &out); err != nil {
		return nil, 0, &OutageError{op: "read", cause: err}
	}
	if from > 0 && from < out.First {
		return nil, out.Next, &TruncatedError{from: from, first: out.First}
	}
	records := make([]Record, 0, len(out.Records))
	for _, r := range out.Records {
		records = append(records, NewRecord(r.Offset, r.Data))
	}
	return records, out.Next, nil
}

func (c *Client) records(stream string) string {
	return c.base + url.PathEscape(stream) + "/records"
}

// call makes one request with the deadline of ctx, or 10 s when it has none.
func (c *Client) call(ctx context.Context, op, method, uri string, body []byte) ([]byte, error) {
	if err := ctx.Err(); err != nil {
		return nil, &OutageError{op: op, cause: err}
	}
	deadline, ok := ctx.Deadline()
	if !ok {
		deadline = time.Now().Add(defaultTimeout)
	}
	req := fasthttp.AcquireRequest()
	resp := fasthttp.AcquireResponse()
	req.Header.SetMethod(method)
	req.SetRequestURI(uri)
	req.SetBody(body)
	done := make(chan error, 1)
	go func() { done <- c.http.DoDeadline(req, resp, deadline) }()
	select {
	case err := <-done:
		out, err := outcome(op, resp, err)
		fasthttp.ReleaseRequest(req)
		fasthttp.ReleaseResponse(resp)
		return out, err
	case <-ctx.Done():
		return nil, &OutageError{op: op, maybeApplied: true, cause: ctx.Err()}
	}
}

func outcome(op string, resp *fasthttp.Response, err error) ([]byte, error) {
	if err != nil {
		var dial *dialError
		return nil, &OutageError{op: op, maybeApplied: !errors.As(err, &dial), cause: err}
	}
	body := append([]byte(nil), resp.Body()...)
	status := resp.StatusCode()
	switch {
	case status == fasthttp.StatusOK:
		return body, nil
	case status >= fasthttp.StatusInternalServerError && status != fasthttp.StatusInsufficientStorage:
		return nil, &OutageError{
			op: op, maybeApplied: status != fasthttp.StatusServiceUnavailable, cause: errors.Newf("status %d", status),
		}
	}
	return nil, &RefusedError{status: status, reason: reason(body)}
}

func reason(body []byte) string {
	var out struct {
		Reason string `json:"reason"`
	}
	if err := json.Unmarshal(body, &out); err != nil {
		out.Reason = string(body)
	}
	return out.Reason[:min(len(out.Reason), maxReasonLength)]
}

// dialError marks a failure before a byte was sent.
type dialError struct{ cause error }

func (e *dialError) Error() string { return e.cause.Error() }

func (e *dialError) Unwrap() error { return e.cause }
