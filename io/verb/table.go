package verb

import "github.com/urfave/cli/v3"

// table lists every command; adding one is a file of its name and a row here.
func table() []*cli.Command {
	return []*cli.Command{}
}
