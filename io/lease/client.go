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
	// requestTimeout limits one request.
	requestTimeout = time.Second
	retryInterval  = 50 * time.Millisecond
	// takeTimeout limits all requests for one lease.
	takeTimeout    = 2 * time.Second
	maxIdleTime    = 30 * time.Second
	maxConns       = 1024
	maxAnswerBytes = 8 << 20
)

// Client calls one lease service; it is safe for concurrent use.
type Client struct {
	base string
	http *fasthttp.HostClient
}

// New returns a client of the service at addr ("IP:PORT").
func New(addr string) *Client {
	return &Client{base: "http://" + addr, http: &fasthttp.HostClient{
		Addr: addr, Name: "persimmonstage", MaxConns: maxConns, MaxIdleConnDuration: maxIdleTime,
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

// Take requests a lease and retries with the same key, so that a lost or late answer doesn't take a second lease. It stops when
// the service answers or refuses, ctx ends, 2 s have passed or the time until is reached, and returns the lease as answered.
func (c *Client) Take(ctx context.Context, l slots.Lease, until time.Time) (slots.Lease, error) {
	body := takeJSON{Key: l.Key, Team: l.Team, Kind: l.Kind, Needs: l.Needs, Expires: l.Expires.UTC()}
	if latest := time.Now().Add(takeTimeout); latest.Before(until) {
		until = latest
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
		if refused(err) || ctx.Err() != nil || time.Now().Add(retryInterval).After(until) {
			return l, err
		}
		loop.Sleep(ctx, retryInterval)
	}
}

type keysJSON struct {
	Keys    []string  `json:"keys"`
	Expires time.Time `json:"expires,omitzero"`
}

// Renew sets a new expiry of leases and returns the keys of those that are no longer in force.
func (c *Client) Renew(keys []string, expires time.Time) ([]string, error) {
	var got struct {
		Gone []string `json:"gone"`
	}
	err := c.post("/v1/leases/renew", keysJSON{Keys: keys, Expires: expires.UTC()}, &got)
	return got.Gone, err
}

// End returns leases; ending a lease twice, or one that was never taken, has no effect.
func (c *Client) End(keys []string) error {
	return c.post("/v1/leases/end", keysJSON{Keys: keys}, nil)
}

// Act requests an action of the guard; repeating the request has no effect.
func (c *Client) Act(a slots.Action) error {
	body := struct {
		Key string `json:"key"`
	}{a.Key}
	return c.post("/v1/leases/"+string(a.Verb), body, nil)
}

// Usage is what the task of one lease used at one time.
type Usage struct {
	Key      string    `json:"key"`
	Cores    int       `json:"cores"`
	MemoryMB int       `json:"memory-mb"`
	At       time.Time `json:"at"`
}

// Usage returns the latest usage report.
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
	if err := c.http.DoTimeout(req, resp, requestTimeout); err != nil {
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
