package guard

import (
	"net"
	"time"

	"github.com/valyala/fasthttp"

	"persimmonstage/io/uptime"
)

// bodyTime bounds the time for a body, besides that of the server's settings.
const bodyTime = 30 * time.Second

// Attach lets a server read bodies with Body, and tells the connections when their next request is awaited.
func Attach(s *fasthttp.Server) {
	s.StreamRequestBody, s.DisablePreParseMultipartForm = true, true
	s.ConnState = func(c net.Conn, state fasthttp.ConnState) {
		if gc, ok := c.(*Conn); ok && state == fasthttp.StateIdle {
			gc.Await()
		}
	}
}

// ConnOf returns the connection of a request, nil if it isn't guarded.
func ConnOf(ctx *fasthttp.RequestCtx) *Conn {
	conn, _ := ctx.Conn().(*Conn)
	return conn
}

// Body reads the body of a request of at most limit bytes. If that fails the rest isn't read, and the connection is closed after the
// answer. The errors are an *http.MaxBytesError, ErrGivenUp, ErrLate and those of the connection.
func Body(ctx *fasthttp.RequestCtx, limit int64) ([]byte, error) {
	stream := ctx.RequestBodyStream()
	if stream == nil {
		return ctx.PostBody(), nil
	}
	conn, length := ConnOf(ctx), max(unknown, int64(ctx.Request.Header.ContentLength()))
	conn.expect(length, uptime.Now().Add(bodyTime))
	body, err := conn.ReadBody(stream, length, limit)
	if err != nil {
		ctx.SetConnectionClose()
		conn.abandon()
	}
	return body, err
}

// RequestError returns why a request couldn't be read, for an error that the server reports.
func RequestError(ctx *fasthttp.RequestCtx, err error) error {
	conn := ConnOf(ctx)
	conn.abandon()
	return conn.bodyError(err)
}

// expect records the length of the body, of which the server may have read the begin, and until when it has to be read.
func (c *Conn) expect(length int64, until time.Time) {
	if c == nil {
		return
	}
	if c.until = until; length >= 0 {
		c.body = max(0, length-c.passed)
	}
}

// abandon records that the rest of the request won't be read.
func (c *Conn) abandon() {
	if c != nil {
		c.unread = true
	}
}
