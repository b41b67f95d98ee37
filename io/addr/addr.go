package addr

import (
	"net"
	"net/netip"
	"net/url"
)

// Valid reports whether s is of the form IP:PORT.
func Valid(s string) bool {
	_, err := netip.ParseAddrPort(s)
	return err == nil
}

// Dialable reports whether s is of the form IP:PORT with a port that can be connected to.
func Dialable(s string) bool {
	ap, err := netip.ParseAddrPort(s)
	return err == nil && ap.Port() != 0
}

// ValidBase reports whether s is of the form http://IP:PORT.
func ValidBase(s string) bool {
	u, err := url.Parse(s)
	return err == nil && u.Scheme == "http" && Valid(u.Host) && u.Path == ""
}

// Host returns the host of an address of the form IP:PORT, or the whole of another one.
func Host(a net.Addr) string {
	host, _, err := net.SplitHostPort(a.String())
	if err != nil {
		return a.String()
	}
	return host
}
