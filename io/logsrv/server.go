package logsrv

import (
	"encoding/json"
	"fmt"
	"regexp"
	"strconv"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/valyala/fasthttp"

	"persimmonstage/io/httpd"
)

// Limits of one server, so that a test run can't fill the machine's memory.
const (
	maxRecordBytes = 1 << 20
	maxAnswerBytes = 4 << 20
	maxStreamBytes = 64 << 20
	maxStreams     = 1024
	maxRecords     = 1000
	maxWait        = 30 * time.Second
	// DefaultRetention is the number of records that a stream keeps when the caller specifies none.
	DefaultRetention = 100_000

	// idleTimeout must exceed the client's, which would otherwise send on a connection that the server has closed.
	idleTimeout = 2 * time.Minute
)

var streamPath = regexp.MustCompile(`^/v1/streams/([a-z0-9][a-z0-9-]{0,63})/records$`)

// Server is the stand-in for the platform's log service.
type Server struct {
	store  *store
	faults faults
	served *httpd.Server
	done   chan struct{}
	once   sync.Once
}

// Start serves on addr ("IP:PORT", port 0 picks a free one); a stream keeps at most count records, none older than age
// (0: any age).
func Start(addr string, count int, age time.Duration) (*Server, error) {
	if count <= 0 {
		return nil, errors.Newf("retention of %d records: must be at least 1", count)
	}
	s := &Server{store: newStore(count, age), done: make(chan struct{})}
	http := &fasthttp.Server{
		Handler:                      s.handle,
		Name:                         "stand-in-log",
		IdleTimeout:                  idleTimeout,
		MaxRequestBodySize:           maxRecordBytes,
		NoDefaultDate:                true,
		DisablePreParseMultipartForm: true,
		CloseOnShutdown:              true,
	}
	var err error
	s.served, err = httpd.Start(addr, http)
	if err != nil {
		return nil, err
	}
	return s, nil
}

// Addr returns the address it listens on, as "IP:PORT".
func (s *Server) Addr() string { return s.served.Addr() }

// Close ends the wait of every reader, answers the requests in progress and stops the server; its records are lost.
func (s *Server) Close() error {
	var err error
	s.once.Do(func() {
		close(s.done)
		err = s.served.Close()
	})
	return err
}

func (s *Server) handle(ctx *fasthttp.RequestCtx) {
	if string(ctx.Path()) == "/v1/faults" {
		s.setFaults(ctx)
		return
	}
	if !s.applyOutage(ctx) {
		return
	}
	s.delay()
	m := streamPath.FindSubmatch(ctx.Path())
	switch {
	case m == nil:
		refuse(ctx, fasthttp.StatusNotFound, "no such path; a stream's name is 1 to 64 of a-z, 0-9 and '-'")
	case ctx.IsPost():
		s.append(ctx, string(m[1]))
	case ctx.IsGet():
		s.read(ctx, string(m[1]))
	default:
		refuse(ctx, fasthttp.StatusMethodNotAllowed, "only GET and POST")
	}
}

type appendJSON struct {
	Offset int64 `json:"offset"`
}

func (s *Server) append(ctx *fasthttp.RequestCtx, name string) {
	data := append([]byte(nil), ctx.PostBody()...)
	offset, ok := s.store.append(name, data, time.Now())
	if !ok {
		refuse(ctx, fasthttp.StatusInsufficientStorage, tooManyStreams)
		return
	}
	if s.faults.loseAnswer() {
		closeConn(ctx)
		return
	}
	answer(ctx, appendJSON{Offset: offset})
}

type recordJSON struct {
	Offset int64  `json:"offset"`
	Data   []byte `json:"data"`
}

type readJSON struct {
	First   int64        `json:"first"`
	Next    int64        `json:"next"`
	Records []recordJSON `json:"records"`
}

func (s *Server) read(ctx *fasthttp.RequestCtx, name string) {
	from, err1 := queryInt(ctx, "from", 0, 1<<62)
	limit, err2 := queryInt(ctx, "max", maxRecords, maxRecords)
	wait, err3 := queryInt(ctx, "wait-ms", 0, maxWait.Milliseconds())
	if err := errors.CombineErrors(err1, errors.CombineErrors(err2, err3)); err != nil {
		refuse(ctx, fasthttp.StatusBadRequest, err.Error())
		return
	}
	deadline := time.Now().Add(time.Duration(wait) * time.Millisecond)
	got, ok := s.readWait(name, from, int(limit), deadline)
	if !ok {
		refuse(ctx, fasthttp.StatusInsufficientStorage, tooManyStreams)
		return
	}
	if !s.applyOutage(ctx) {
		return
	}
	out := readJSON{First: got.first, Next: got.next, Records: make([]recordJSON, 0, len(got.records))}
	for i, data := range got.records {
		out.Records = append(out.Records, recordJSON{Offset: got.from + int64(i), Data: data})
	}
	answer(ctx, out)
}

// readWait reads a stream, waiting until it has a record at or after from, the deadline passes or the server closes.
func (s *Server) readWait(name string, from int64, limit int, deadline time.Time) (readResult, bool) {
	timer := time.NewTimer(time.Until(deadline))
	defer timer.Stop()
	for {
		got, ok := s.store.read(name, from, limit, time.Now())
		if !ok || len(got.records) > 0 {
			return got, ok
		}
		select {
		case <-got.changed:
		case <-timer.C:
			return got, true
		case <-s.done:
			return got, true
		}
	}
}

var tooManyStreams = fmt.Sprintf("limit of %d streams reached", maxStreams)

// queryInt parses a query argument between 0 and limit.
func queryInt(ctx *fasthttp.RequestCtx, name string, fallback, limit int64) (int64, error) {
	text := string(ctx.QueryArgs().Peek(name))
	if text == "" {
		return fallback, nil
	}
	n, err := strconv.ParseInt(text, 10, 64)
	if err != nil || n < 0 || n > limit {
		return 0, errors.Newf("%s=%q: must be an integer between 0 and %d", name, text, limit)
	}
	return n, nil
}

func answer(ctx *fasthttp.RequestCtx, body any) {
	data, err := json.Marshal(body)
	if err != nil {
		refuse(ctx, fasthttp.StatusInternalServerError, err.Error())
		return
	}
	ctx.SetContentType("application/json")
	ctx.SetBody(data)
}

type refusalJSON struct {
	Reason string `json:"reason"`
}

func refuse(ctx *fasthttp.RequestCtx, status int, reason string) {
	answer(ctx, refusalJSON{Reason: reason})
	ctx.SetStatusCode(status)
}
