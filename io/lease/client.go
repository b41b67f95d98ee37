package lease

import (
	"context"
	"encoding/json"
	"time"

	"github.com/valyala/fasthttp"

	"persimmonstage/core/needs"
	"persimmonstage/core/slots"
	"persimmonstage/io/loop"
)

const (
	// tryTimeout bounds one request.
	tryTimeout = time.Second
	retryPause = 50 * time.Millisecond
	// takeTimeout bounds the tries for one lease.
	takeTimeout    = 2 * time.Second
	maxIdle        = 30 * time.Second
	maxConns       = 1024
	maxAnswerBytes = 8 << 20
)

// Client asks one lease service; it is safe for concurrent use.
type Client struct {
	base string
	http *fasthttp.HostClient
}

// New returns a client of the service at addr ("IP:PORT").
func New(addr string) *Client {
	return &Client{base: "http://" + addr, http: &fasthttp.HostClient{
		Addr: addr, Name: "persimmonstage", MaxConns: maxConns, MaxIdleConnDuration: maxIdle,
		MaxIdemponentCallAttempts: 1,
		RetryIfErr:                func(*fasthttp.Request, int, error) (bool, bool) { return false, false },
		MaxResponseBodySize:       maxAnswerBytes,
	}}
}

type takeJSON struct {
	Key     string       `json:"key"`
	Team    string       `json:"team"`
	Kind    string       `json:"kind"`
	Needs   needs.Vector `json:"needs"`
	Expires time.Time    `json:"expires"`
}

// Take asks for a lease until it is answered, at the longest until a time, always with the same key, so that an answer that
// was lost or late takes no second lease; it returns what the service says of the lease.
func (c *Client) Take(ctx context.Context, l slots.Lease, until time.Time) (slots.Lease, error) {
	body := takeJSON{Key: l.Key, Team: l.Team, Kind: l.Kind, Needs: l.Needs, Expires: l.Expires.UTC()}
	if longest := time.Now().Add(takeTimeout); longest.Before(until) {
		until = longest
	}
	var got struct {
		Expires       time.Time `json:"expires"`
		Checkpointing bool      `json:"checkpointing"`
	}
	for {
		err := c.post("/v1/leases", body, &got)
		if err == nil {
			l.Expires, l.Checkpointing = got.Expires, got.Checkpointing
			return l, nil
		}
		if refused(err) || ctx.Err() != nil || time.Now().Add(retryPause).After(until) {
			return l, err
		}
		loop.Sleep(ctx, retryPause)
	}
}

type keysJSON struct {
	Keys    []string  `json:"keys"`
	Expires time.Time `json:"expires,omitzero"`
}

// Renew moves the ends of leases and returns the keys of those that are no longer in force.
func (c *Client) Renew(keys []string, expires time.Time) ([]string, error) {
	var got struct {
		Gone []string `json:"gone"`
	}
	err := c.post("/v1/leases/renew", keysJSON{Keys: keys, Expires: expires.UTC()}, &got)
	return got.Gone, err
}

// End gives leases back; ending one twice, or one that was never taken, does no harm.
func (c *Client) End(keys []string) error {
	return c.post("/v1/leases/end", keysJSON{Keys: keys}, nil)
}

// Act asks for an action of the guard; asking twice does no harm.
func (c *Client) Act(a slots.Action) error {
	body := struct {
		Key string `json:"key"`
	}{a.Key}
	return c.post("/v1/leases/"+string(a.Verb), body, nil)
}

// Usage is what the task of a lease used at a time.
type Usage struct {
	Key      string    `json:"key"`
	Cores    int       `json:"cores"`
	MemoryMB int       `json:"memory-mb"`
	At       time.Time `json:"at"`
}

// Usage asks for the latest report.
func (c *Client) Usage() ([]Usage, error) {
	var got struct {
		Usage []Usage `json:"usage"`
	}
	err := c.call(fasthttp.MethodGet, "/v1/usage", nil, &got)
	return got.Usage, err
}

func (c *Client) post(path string, body, into any) error {
	data, err := json.Marshal(body)
	if err != nil {
		return err
	}
	return c.call(fasthttp.MethodPost, path, data, into)
}

func (c *Client) call(method, path string, data []byte, into any) error {
	req := fasthttp.AcquireRequest()
	resp := fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(req)
	defer fasthttp.ReleaseResponse(resp)
	req.Header.SetMethod(method)
	req.SetRequestURI(c.base + path)
	req.SetBodyRaw(data)
	if err := c.http.DoTimeout(req, resp, tryTimeout); err != nil {
		return &Error{path: path, cause: err}
	}
	if resp.StatusCode() != fasthttp.StatusOK {
		return &Error{path: path, status: resp.StatusCode(), reason: reason(resp.Body())}
	}
	if into == nil {
		return nil
	}
	if err := json.Unmarshal(resp.Body(), into); err != nil {
		return &Error{path: path, cause: err}
	}
	return nil
}
