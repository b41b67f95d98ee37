package target

import (
	"fmt"
	"strconv"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/valyala/fasthttp"

	"persimmonstage/core/cause"
	"persimmonstage/core/order"
)

const (
	// maxOutputBytes limits the output of one task.
	maxOutputBytes = 8 << 20
	maxConns       = 4096
	maxReasonBytes = 256
	probeTimeout   = time.Second
)

// Client starts tasks at one target over HTTP: POST /run with the payload as request body and the output as response body.
//
// It never sends a request twice: a start whose answer is lost is an error, and its task may have run.
type Client struct {
	base string
	http *fasthttp.Client
}

// New returns a client of the target at the base URL, such as http://127.0.0.1:9001.
func New(base string) *Client {
	return &Client{base: base, http: &fasthttp.Client{
		MaxConnsPerHost:           maxConns,
		MaxIdemponentCallAttempts: 1,
		RetryIfErr:                func(*fasthttp.Request, int, error) (bool, bool) { return false, false },
		MaxResponseBodySize:       maxOutputBytes,
		NoDefaultUserAgentHeader:  true,
	}}
}

// Run starts the task and waits for its end until the order's deadline; the error is the reason why the task failed.
func (c *Client) Run(o *order.Order) ([]byte, error) {
	req := fasthttp.AcquireRequest()
	resp := fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(req)
	defer fasthttp.ReleaseResponse(resp)
	req.Header.SetMethod(fasthttp.MethodPost)
	req.SetRequestURI(c.base + "/run")
	req.Header.Set("Task", o.Key.String()+"/"+strconv.Itoa(o.Index))
	req.Header.Set("Kind", o.Kind)
	req.Header.Set("Deadline", o.Deadline.UTC().Format(time.RFC3339Nano))
	req.SetBodyRaw(o.Payload)
	switch err := c.http.DoDeadline(req, resp, o.Deadline); {
	case errors.Is(err, fasthttp.ErrTimeout) && !time.Now().Before(o.Deadline):
		return nil, errors.Newf("%s: the target had not answered by then", cause.DeadlinePassed)
	case err != nil:
		return nil, errors.Wrap(err, "target gave no whole answer")
	}
	if resp.StatusCode() != fasthttp.StatusOK {
		return nil, errors.Newf("target answered %d: %s", resp.StatusCode(), truncate(resp.Body()))
	}
	return append([]byte(nil), resp.Body()...), nil
}

// Probe checks the target's health without starting a task.
func (c *Client) Probe() error {
	status, _, err := c.http.GetTimeout(nil, c.base+"/healthz", probeTimeout)
	if err != nil {
		return err
	}
	if status != fasthttp.StatusOK {
		return fmt.Errorf("target answered %d", status)
	}
	return nil
}

func truncate(b []byte) string {
	if len(b) > maxReasonBytes {
		b = b[:maxReasonBytes]
	}
	return string(b)
}
