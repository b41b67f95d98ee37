package served

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

// Start serves on addr ("IP:PORT", port 0 picks a free one); the error is the listener's.
func Start(addr string, http *fasthttp.Server) (*Server, error) {
	ln, err := net.Listen("tcp", addr)
	if err != nil {
		return nil, err
	}
	s := &Server{http: http, listener: ln, ended: make(chan error, 1)}
	go func() { s.ended <- http.Serve(ln) }()
	return s, nil
}

// Addr returns the address it listens on, as "IP:PORT".
func (s *Server) Addr() string { return s.listener.Addr().String() }

// Close lets the requests under way end and waits for the server's end. It closes the listener as well: the server knows of it
// only once it accepts, and would then accept for ever.
func (s *Server) Close() error {
	err := s.http.Shutdown()
	if closeErr := s.listener.Close(); !errors.Is(closeErr, net.ErrClosed) {
		err = errors.CombineErrors(err, closeErr)
	}
	<-s.ended
	return err
}
