package addr

import (
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
