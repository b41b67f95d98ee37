package verb

import (
	"os"
	"strings"

	"github.com/cockroachdb/errors"
	"github.com/urfave/cli/v3"
)

// entryFlag names the entry that a command talks to.
func entryFlag() cli.Flag {
	return &cli.StringFlag{
		Name: "entry", Usage: "an entry's address, `http://IP:PORT`", Value: "http://127.0.0.1:8080",
		Sources: cli.EnvVars("PERSIMMONSTAGE_ENTRY"),
	}
}

// named puts the command's name before an error.
func named(c *cli.Command, err error) error {
	if err == nil {
		return nil
	}
	return errors.Wrap(err, c.Name)
}

// atMost refuses more than n arguments and names the first one too many.
func atMost(c *cli.Command, n int) error {
	if c.Args().Len() > n {
		return errors.Newf("%s: unexpected argument %q", c.Name, c.Args().Get(n))
	}
	return nil
}

func trimSlash(s string) string { return strings.TrimRight(s, "/") }

// readSettings reads the file that --settings names.
func readSettings(c *cli.Command) (string, []byte, error) {
	file := c.String("settings")
	if file == "" {
		return "", nil, errors.Newf("%s: --settings: missing", c.Name)
	}
	data, err := os.ReadFile(file)
	if err != nil {
		return file, nil, errors.Wrapf(err, "%s: --settings", c.Name)
	}
	return file, data, nil
}

func settingsFlag() cli.Flag {
	return &cli.StringFlag{Name: "settings", Usage: "the TOML `FILE` of the process's settings"}
}
