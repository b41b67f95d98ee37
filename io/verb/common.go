package verb

import (
	"os"
	"strings"

	"github.com/cockroachdb/errors"
	"github.com/urfave/cli/v3"
)

// teamTokenFlag is the token of the callers' commands; operators' commands take operatorFlag.
func teamTokenFlag() cli.Flag {
	return &cli.StringFlag{Name: "token", Usage: "the team's token", Sources: cli.EnvVars("PERSIMMONSTAGE_TOKEN")}
}

// answerFlag prints an answer as it came.
func answerFlag() cli.Flag {
	return &cli.BoolFlag{Name: "json", Usage: "print the answer's JSON body"}
}

// entryFlag names the entry that a command talks to.
func entryFlag() cli.Flag {
	return &cli.StringFlag{
		Name: "entry", Usage: "an entry's address, `http://IP:PORT`", Value: "http://127.0.0.1:8080",
		Sources: cli.EnvVars("PERSIMMONSTAGE_ENTRY"),
	}
}

// verbOf gives the words that name the command, without the program's.
func verbOf(c *cli.Command) string {
	_, words, _ := strings.Cut(c.FullName(), " ")
	return words
}

// named puts the command's words before an error.
func named(c *cli.Command, err error) error {
	if words := verbOf(c); err != nil && words != "" {
		return errors.Wrap(err, words)
	}
	return err
}

// atMost refuses more than n arguments and names the first one too many.
func atMost(c *cli.Command, n int) error {
	if c.Args().Len() > n {
		return named(c, errors.Newf("unexpected argument %q", c.Args().Get(n)))
	}
	return nil
}

func trimSlash(s string) string { return strings.TrimRight(s, "/") }

// readSettings reads the file that --settings names.
func readSettings(c *cli.Command) (string, []byte, error) {
	file := c.String("settings")
	if file == "" {
		return "", nil, named(c, errors.New("--settings: missing"))
	}
	data, err := os.ReadFile(file)
	if err != nil {
		return file, nil, named(c, errors.Wrap(err, "--settings"))
	}
	return file, data, nil
}

func settingsFlag() cli.Flag {
	return &cli.StringFlag{Name: "settings", Usage: "the TOML `FILE` of the process's settings"}
}
