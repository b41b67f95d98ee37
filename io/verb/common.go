package verb

import (
	"os"
	"strings"

	"github.com/cockroachdb/errors"
	"github.com/urfave/cli/v3"
)

// teamTokenFlag is the token flag of callers' commands; operators' commands use operatorFlag.
func teamTokenFlag() cli.Flag {
	return &cli.StringFlag{Name: "token", Usage: "the team's token", Sources: cli.EnvVars("PERSIMMONSTAGE_TOKEN")}
}

// answerFlag prints an answer's body unchanged.
func answerFlag() cli.Flag {
	return &cli.BoolFlag{Name: "json", Usage: "print the answer's JSON body"}
}

// entryFlag is the address of the entry that a command sends requests to.
func entryFlag() cli.Flag {
	return &cli.StringFlag{
		Name: "entry", Usage: "an entry's address, `http://IP:PORT`", Value: "http://127.0.0.1:8080",
		Sources: cli.EnvVars("PERSIMMONSTAGE_ENTRY"),
	}
}

// commandPath returns the command's full name without the program's name, such as "config show".
func commandPath(c *cli.Command) string {
	_, words, _ := strings.Cut(c.FullName(), " ")
	return words
}

// prefixError prefixes an error with the command's full name.
func prefixError(c *cli.Command, err error) error {
	if words := commandPath(c); err != nil && words != "" {
		return errors.Wrap(err, words)
	}
	return err
}

// rejectExtraArgs returns an error with the first extra argument if there are more than n.
func rejectExtraArgs(c *cli.Command, n int) error {
	if c.Args().Len() > n {
		return prefixError(c, errors.Newf("unexpected argument %q", c.Args().Get(n)))
	}
	return nil
}

func trimSlash(s string) string { return strings.TrimRight(s, "/") }

// readSettings returns the name and content of the --settings file.
func readSettings(c *cli.Command) (string, []byte, error) {
	file := c.String("settings")
	if file == "" {
		return "", nil, prefixError(c, errors.New("--settings: missing"))
	}
	data, err := os.ReadFile(file)
	if err != nil {
		return file, nil, prefixError(c, errors.Wrap(err, "--settings"))
	}
	return file, data, nil
}

func settingsFlag() cli.Flag {
	return &cli.StringFlag{Name: "settings", Usage: "the TOML `FILE` of the process's settings"}
}
