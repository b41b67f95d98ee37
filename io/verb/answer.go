package verb

import (
	"cmp"
	"encoding/json"
	"fmt"
	"io"
	"os"

	"github.com/cockroachdb/errors"
	"github.com/urfave/cli/v3"
)

const statusOK = 200

// readJob reads a job from file, or from stdin for "-"; without a file name it returns sample.
func readJob(file string, stdin io.Reader, sample []byte) ([]byte, error) {
	switch file {
	case "":
		return sample, nil
	case "-":
		return io.ReadAll(stdin)
	}
	return os.ReadFile(file)
}

// answerText holds the fields of an answer that are printed as text.
type answerText struct {
	Outcome string   `json:"outcome"`
	ID      string   `json:"id"`
	Reason  string   `json:"reason"`
	NotRun  *bool    `json:"not-run"`
	Results [][]byte `json:"results"`
}

// printAnswer prints the answer and returns an error unless the job is complete.
func printAnswer(w io.Writer, status int, body []byte, asJSON bool) error {
	var a answerText
	if err := json.Unmarshal(body, &a); err != nil {
		return errors.Wrapf(err, "answer %d is not JSON", status)
	}
	if asJSON {
		fmt.Fprintf(w, "%s\n", body)
	} else {
		printResults(w, &a)
	}
	if status == statusOK && a.Outcome == "complete" {
		return nil
	}
	if a.NotRun != nil && *a.NotRun {
		return errors.Newf("%s (%d), not run: %s", a.Outcome, status, a.Reason)
	}
	return errors.Newf("%s (%d): %s", a.Outcome, status, a.Reason)
}

// printFinalAnswer prints how a job ended; it returns an error only if the job has not ended.
func printFinalAnswer(w io.Writer, status int, body []byte, asJSON bool) error {
	err := printAnswer(w, status, body, asJSON)
	if err == nil || status != statusOK {
		return err
	}
	if !asJSON {
		fmt.Fprintln(w, err)
	}
	return nil
}

func printResults(w io.Writer, a *answerText) {
	if a.Outcome != "complete" {
		return
	}
	fmt.Fprintf(w, "complete: %d results\n", len(a.Results))
	for i, r := range a.Results {
		fmt.Fprintf(w, "%d: %q\n", i, r)
	}
}

// readJobArg reads the job that a command's only argument names, standard input without one.
func readJobArg(c *cli.Command) ([]byte, error) {
	if err := rejectExtraArgs(c, 1); err != nil {
		return nil, err
	}
	text, err := readJob(cmp.Or(c.Args().First(), "-"), c.Root().Reader, nil)
	return text, prefixError(c, err)
}
