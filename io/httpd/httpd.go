package httpd

import (
	"net"

	"github.com/cockroachdb/errors"
	"github.com/valyala/fasthttp"
)

// Server is a server that accepts connections until Close; Start makes it.
type Server struct {
	http     *fasthttp.Server
	listener net.Listener
	ended    chan error
}

// Start serves on addr ("IP:PORT"; port 0 picks a free port) and returns an error if it can't listen there.
func Start(addr string, http *fasthttp.Server) (*Server, error) {
	ln, err := net.Listen("tcp", addr)
	if err != nil {
		return nil, err
	}
	s := &Server{http: http, listener: ln, ended: make(chan error, 1)}
	go func() { s.ended <- http.Serve(ln) }()
	return s, nil
}

// Addr returns the listening address as "IP:PORT".
func (s *Server) Addr() string { return s.listener.Addr().String() }

// Close waits for the requests in progress and for the server to stop. It also closes the listener: fasthttp registers the
// listener only when it begins to accept, so that after an earlier Shutdown it would accept forever.
func (s *Server) Close() error {
	err := s.http.Shutdown()
	if closeErr := s.listener.Close(); !errors.Is(closeErr, net.ErrClosed) {
		err = errors.CombineErrors(err, closeErr)
	}
	<-s.ended
	return err
}
