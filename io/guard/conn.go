package guard

import (
	"io"
	"net"
	"net/http"
	"os"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"

	"persimmonstage/io/uptime"
)

const (
	// maxHeaderLines bounds the lines of a header, of which each costs some 200 bytes; a caller sends about ten.
	maxHeaderLines = 128
	// freeHeader and freeBody are the bytes of a header and a body that count as part of the connection's own memory.
	freeHeader = 4 << 10
	freeBody   = 8 << 10
	// firstBuffer is the first buffer of a body of unknown length.
	firstBuffer = 1 << 10
	// maxOvershoot bounds a read of a body of unknown length, whose last one may reach into the header of the next request.
	maxOvershoot = 512
	unknown      = -1
	// freeFraming are the bytes of a body's framing beyond the body's own that no account is kept of, and framingStep those between two
	// entries in the account.
	freeFraming = 64 << 10
	framingStep = 4 << 10
	// writeTime is how long a caller may take to read what is written at once. A request that is answered can't be closed for others.
	writeTime = 30 * time.Second
	// lingerTime is how long a refused connection stays open for the caller to read the answer.
	lingerTime = 500 * time.Millisecond
)

// ErrGivenUp is returned for requests that are given up since callers together hold more than the process has.
var ErrGivenUp = errors.New("callers hold too much at once")

// ErrLate is returned for a request that didn't arrive in its time.
var ErrLate = errors.New("the request didn't arrive in time")

// errFraming is returned for bodies whose framing, together with that of others, takes too much processor time.
var errFraming = errors.Wrap(ErrGivenUp, "chunks too small")

// errServed is returned for requests that can't be served beside those that are.
var errServed = errors.Wrap(ErrGivenUp, "too many requests are being served")

var errLines = errors.Newf("header: more than %d lines", maxHeaderLines)

// Conn is a connection that counts the lines of headers before they are parsed. Reads end with the header, so that what follows it is
// attributed to the body or to the next request.
type Conn struct {
	net.Conn
	guard    *Guard
	id       uint64
	givenUp  atomic.Bool
	gone     chan struct{} // closed when the connection is closed in favour of a new one
	inHeader bool
	lines    int       // of the header
	header   int       // its bytes
	blank    int       // bytes of its current line that aren't part of the line's end
	body     int64     // bytes of the body not yet read, or unknown
	passed   int64     // bytes read since the header
	held     int64     // bytes that the body's buffer holds beyond freeBody
	timed    bool      // the time for the body is bounded
	unread   bool      // the request was refused before its body was read
	framed   int64     // bytes of excessive framing for which processor time was reserved
	until    time.Time // when the body has to be read
	ahead    []byte
}

// SyscallConn returns access to the descriptor.
func (c *Conn) SyscallConn() (syscall.RawConn, error) {
	sc, ok := c.Conn.(syscall.Conn)
	if !ok {
		return nil, errors.New("connection without a descriptor")
	}
	return sc.SyscallConn()
}

// Read reads from the connection, at most to the end of a header.
func (c *Conn) Read(p []byte) (int, error) {
	if c.givenUp.Load() {
		return 0, os.ErrDeadlineExceeded
	}
	p = p[:min(len(p), c.readable())]
	n, err := 0, error(nil)
	if len(c.ahead) > 0 {
		n = copy(p, c.ahead)
	} else if n, err = c.Conn.Read(p); n == 0 {
		return 0, err
	}
	passed := n
	if c.inHeader {
		var wrong error
		if passed, wrong = c.scan(p[:n]); wrong != nil {
			return 0, wrong
		}
	} else if c.passed += int64(n); c.body > 0 {
		c.body -= int64(n)
	}
	switch {
	case len(c.ahead) > passed:
		c.ahead = c.ahead[passed:]
	case len(c.ahead) > 0:
		c.ahead = nil
	case passed < n:
		c.ahead = append([]byte(nil), p[passed:n]...)
	}
	return passed, err
}

// readable returns how many bytes may be read at once.
func (c *Conn) readable() int {
	const unbounded = 1 << 30
	switch {
	case c.inHeader:
		return unbounded
	case c.body == unknown:
		return maxOvershoot
	}
	return int(max(1, min(c.body, unbounded)))
}

// scan counts the lines of a header in p and returns the number of its bytes.
func (c *Conn) scan(p []byte) (int, error) {
	for i, b := range p {
		switch b {
		case '\r':
		case '\n':
			if c.lines++; c.blank == 0 {
				c.inHeader, c.body, c.passed = false, unknown, 0
				return i + 1, c.admitHeader(i + 1)
			}
			c.blank = 0
			if c.lines > maxHeaderLines {
				c.guard.report(tooManyLines)
				return 0, errLines
			}
		default:
			c.blank++
		}
	}
	return len(p), c.admitHeader(len(p))
}

// admitHeader accounts for further bytes of a header.
func (c *Conn) admitHeader(n int) error {
	if c.header += n; c.header > freeHeader && !c.hold(0) {
		return os.ErrDeadlineExceeded
	}
	return nil
}

// Write writes to the connection, within the time that a caller has to read.
func (c *Conn) Write(p []byte) (int, error) {
	if err := c.Conn.SetWriteDeadline(time.Now().Add(writeTime)); err != nil {
		return 0, err
	}
	return c.Conn.Write(p)
}

// Close closes the connection. If a body is unread, it first discards for a while what arrives, since the caller might not receive the
// answer otherwise: closing a connection with unread bytes resets it.
func (c *Conn) Close() error {
	if half, ok := c.Conn.(interface{ CloseWrite() error }); ok && c.unread && half.CloseWrite() == nil {
		_ = c.Conn.SetReadDeadline(time.Now().Add(lingerTime))
		go func() {
			_, _ = io.Copy(io.Discard, c.Conn)
			_ = c.close()
		}()
		return nil
	}
	return c.close()
}

func (c *Conn) close() error {
	c.guard.mu.Lock()
	c.guard.intake.Close(c.id)
	delete(c.guard.conns, c.id)
	c.guard.mu.Unlock()
	return c.Conn.Close()
}

// Gone returns a channel that is closed when the connection is closed in favour of a new one; it is nil for a nil Conn.
func (c *Conn) Gone() <-chan struct{} {
	if c == nil {
		return nil
	}
	return c.gone
}

// Serve records that the connection's request has been read, so that the connection isn't closed in favour of others. It returns an
// ErrGivenUp if it was given up before or too many others are being served. A nil Conn serves everything.
func (c *Conn) Serve() error {
	if c == nil {
		return nil
	}
	c.guard.mu.Lock()
	ok, full := c.guard.intake.Serve(c.id)
	c.guard.mu.Unlock()
	switch {
	case full:
		c.guard.report(tooManyServed)
		return errServed
	case !ok:
		return ErrGivenUp
	}
	return nil
}

// Await records that the connection's next request is awaited.
func (c *Conn) Await() {
	if c == nil {
		return
	}
	c.inHeader, c.lines, c.header, c.blank, c.held, c.timed, c.framed = true, 0, 0, 0, 0, false, 0
	c.guard.mu.Lock()
	defer c.guard.mu.Unlock()
	c.guard.intake.Await(uptime.Now(), c.id)
}

// Begin records the length of the body of the request whose header has been read, negative if it is unknown, and until when the body
// has to be read, unless that has arrived. It must not be called for a request without a body.
func (c *Conn) Begin(length int64, until time.Time) {
	if c == nil {
		return
	}
	c.body, c.until = max(unknown, length), until
	if c.timed = length < 0 || length > int64(len(c.ahead)); c.timed {
		_ = c.SetReadDeadline(time.Now().Add(until.Sub(uptime.Now())))
	}
}

// ReadBody reads a body of the given length, negative if it is unknown, from r, which reads from the connection. Its buffers grow with
// what has arrived. Release has to be called when the body is no longer used.
func (c *Conn) ReadBody(r io.Reader, length, limit int64) ([]byte, error) {
	if length > limit {
		return nil, &http.MaxBytesError{Limit: limit}
	}
	most, size := limit+1, int64(firstBuffer)
	if length >= 0 {
		// One byte more than the body, so that its end is read without another buffer.
		most, size = length+1, freeBody
	}
	size = min(size, most)
	var before [][]byte // full buffers
	last, held, read := make([]byte, 0, size), size, int64(0)
	for {
		n, err := r.Read(last[len(last):cap(last)])
		last, read = last[:len(last)+n], read+int64(n)
		switch {
		case held-int64(cap(last)-len(last)) > limit:
			c.Release()
			return nil, &http.MaxBytesError{Limit: limit}
		case err == io.EOF:
			c.endTime()
			return c.join(append(before, last), held)
		case err != nil:
			c.Release()
			return nil, c.bodyError(err)
		case !c.pace(read, limit):
			c.Release()
			return nil, errFraming
		}
		if len(last) < cap(last) {
			continue
		}
		before = append(before, last)
		size = min(held, most-held)
		if held += size; held > freeBody && !c.hold(held) {
			c.Release()
			return nil, ErrGivenUp
		}
		last = make([]byte, 0, size)
	}
}

// join returns the bytes of buffers, which hold the given number of bytes.
func (c *Conn) join(buffers [][]byte, held int64) ([]byte, error) {
	if len(buffers) == 1 {
		return buffers[0], nil
	}
	size := 0
	for _, b := range buffers {
		size += len(b)
	}
	if held+int64(size) > freeBody && !c.hold(held+int64(size)) {
		c.Release()
		return nil, ErrGivenUp
	}
	body := make([]byte, 0, size)
	for _, b := range buffers {
		body = append(body, b...)
	}
	return body, nil
}

// pace waits for the processor time of framing that exceeds the bytes of the body read so far, and returns false if there won't be any
// in time.
func (c *Conn) pace(read, limit int64) bool {
	if c == nil {
		return true
	}
	excess := c.passed - 2*read - freeFraming
	if excess-c.framed < framingStep {
		return true
	}
	wait, ok := c.guard.pace(c.until, excess-c.framed, limit)
	if c.framed = excess; !ok {
		c.guard.report(tooMuchFraming)
	}
	time.Sleep(wait)
	return ok
}

// endTime ends the time for the body.
func (c *Conn) endTime() {
	if c != nil && c.timed {
		_ = c.SetReadDeadline(time.Time{})
	}
}

// bodyError returns the error of a body that wasn't read for err.
func (c *Conn) bodyError(err error) error {
	switch {
	case c == nil:
		return err
	case c.givenUp.Load():
		return ErrGivenUp
	case !errors.Is(err, os.ErrDeadlineExceeded):
		return err
	}
	c.guard.report(tooLate)
	return ErrLate
}

// hold records the bytes that the body of the request holds, and returns false if the request has to be given up.
func (c *Conn) hold(bytes int64) bool {
	if c == nil {
		return true
	}
	c.held = bytes
	if c.header > freeHeader {
		bytes += int64(c.header)
	}
	return c.guard.hold(c, bytes)
}

// Keep records that of the body only the given bytes are still used. It returns false if the request has to be given up.
func (c *Conn) Keep(bytes int64) bool {
	if bytes <= freeBody {
		bytes = 0
	}
	return c == nil || c.held == 0 && bytes == 0 || c.hold(bytes)
}

// Release records that the body is no longer used.
func (c *Conn) Release() {
	if c != nil && c.held > 0 {
		c.hold(0)
	}
}
