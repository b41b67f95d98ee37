package golden

import (
	"github.com/rogpeppe/go-internal/testscript"

	"persimmonstage/test/ports"
)

var freePorts ports.Allocator

// setPorts NAME... sets each variable to a free address on loopback.
func setPorts(ts *testscript.TestScript, _ bool, names []string) {
	for _, name := range names {
		address, err := freePorts.Free()
		ts.Check(err)
		ts.Setenv(name, address)
		sessionOf(ts).name(address, name)
	}
}
