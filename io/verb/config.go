package verb

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/urfave/cli/v3"

	"persimmonstage/core/cfgerr"
	"persimmonstage/core/fold"
	"persimmonstage/core/schema"
	"persimmonstage/io/caller"
	"persimmonstage/io/confap"
)

const maxFolderBytes = 4 << 20

// config groups the operators' commands for the configuration.
func config() *cli.Command {
	return &cli.Command{
		Name:  "config",
		Usage: "check, publish and look at the operators' configuration",
		Description: "The configuration is a folder of TOML files, merged in the order of their names: tables key by key, later\n" +
			"values win. docs/SETTINGS.md lists the keys.",
		Commands: []*cli.Command{configCheck(), configPublish(), configShow(), configHistory(), configDiff(), configToken(), configLag()},
	}
}

func jsonFlag() cli.Flag {
	return &cli.BoolFlag{Name: "json", Usage: "print JSON"}
}

// readFolder returns the contents of a folder's TOML files by name; other and hidden files are left out.
func readFolder(dir string) (map[string][]byte, error) {
	if dir == "" {
		return nil, errors.New("FOLDER: missing")
	}
	entries, err := os.ReadDir(dir)
	if err != nil {
		return nil, err
	}
	files := make(map[string][]byte)
	size := 0
	for _, e := range entries {
		if e.IsDir() || strings.HasPrefix(e.Name(), ".") || filepath.Ext(e.Name()) != ".toml" {
			continue
		}
		data, err := os.ReadFile(filepath.Join(dir, e.Name()))
		if err != nil {
			return nil, err
		}
		files[e.Name()] = data
		size += len(data)
	}
	switch {
	case len(files) == 0:
		return nil, errors.Newf("%s: no file ends in .toml", dir)
	case size > maxFolderBytes:
		return nil, errors.Newf("%s: %d bytes of TOML: must be at most %d", dir, size, maxFolderBytes)
	}
	return files, nil
}

// mergeFolder returns the merged document, or all faults of the files, sorted by file, line and key.
func mergeFolder(files map[string][]byte) (fold.Document, []*cfgerr.Error) {
	var faults []*cfgerr.Error
	for name, data := range files {
		faults = append(faults, fileFaults(name, data)...)
	}
	if len(faults) > 0 {
		return fold.Document{}, sortFaults(faults)
	}
	doc, err := fold.Merge(files)
	if err != nil {
		return doc, []*cfgerr.Error{asFault(err)}
	}
	return doc, sortFaults(schema.CheckMerged(doc))
}

func fileFaults(name string, data []byte) []*cfgerr.Error {
	doc, err := fold.Parse(name, data)
	if err != nil {
		return []*cfgerr.Error{asFault(err)}
	}
	return schema.Operators().Check(doc)
}

func asFault(err error) *cfgerr.Error {
	var fault *cfgerr.Error
	if errors.As(err, &fault) {
		return fault
	}
	return cfgerr.New("", 0, "", err.Error())
}

// reportFaults prints the faults to standard error, one per line, and returns an error with their number.
func reportFaults(c *cli.Command, faults []*cfgerr.Error) error {
	for _, f := range faults {
		fmt.Fprintln(c.Root().ErrWriter, f)
	}
	return faultCountError(faults)
}

func faultCountError(faults []*cfgerr.Error) error {
	return errors.Newf("faults in the configuration: %d", len(faults))
}

// adminClient sends requests to the administration API.
type adminClient struct {
	client *caller.Client
	limit  time.Duration
}

func newAdminClient(c *cli.Command) adminClient {
	return adminClient{client: caller.New(trimSlash(c.String("entry")), c.String("token")), limit: adminTimeout}
}

// get requests the configuration, decodes the answer into out and returns the raw body.
func (a adminClient) get(query string, out any) ([]byte, error) {
	path := confap.Path
	if query != "" {
		path += "?" + query
	}
	status, body, err := a.client.Do(http.MethodGet, path, nil, time.Now().Add(a.limit))
	if err != nil {
		return nil, err
	}
	if status != http.StatusOK {
		return nil, apiError(status, body)
	}
	return body, json.Unmarshal(body, out)
}

// apiError converts a refusal by the configuration API to an error.
func apiError(status int, body []byte) error {
	var fault cfgerr.Error
	if err := json.Unmarshal(body, &fault); err != nil || fault.Reason() == "" {
		return errors.Newf("answer %d: %s", status, body)
	}
	return errors.Newf("answer %d: %s", status, fault.Error())
}

// printJSON writes v as indented JSON.
func printJSON(w io.Writer, v any) error {
	data, err := json.MarshalIndent(v, "", "  ")
	if err != nil {
		return err
	}
	_, err = fmt.Fprintf(w, "%s\n", data)
	return err
}

// changeLine is one changed key in the form of the API.
type changeLine struct {
	Key     string `json:"key"`
	Literal string `json:"literal,omitempty"`
	Was     string `json:"was,omitempty"`
}

func (l changeLine) String() string {
	switch {
	case l.Literal == "":
		return fmt.Sprintf("- %s (was %s)", l.Key, l.Was)
	case l.Was == "":
		return fmt.Sprintf("+ %s = %s", l.Key, l.Literal)
	}
	return fmt.Sprintf("~ %s = %s (was %s)", l.Key, l.Literal, l.Was)
}

// difference lists the changes that turn one document into another.
func difference(from, to fold.Document) []changeLine {
	was := make(map[string]string)
	for _, c := range to.Diff(from) {
		was[c.Name()] = c.Literal()
	}
	lines := []changeLine{}
	for _, c := range from.Diff(to) {
		lines = append(lines, changeLine{Key: c.Name(), Literal: c.Literal(), Was: was[c.Name()]})
	}
	return lines
}

func printLines(w io.Writer, indent string, lines []changeLine) {
	for _, l := range lines {
		fmt.Fprintf(w, "%s%s\n", indent, l)
	}
}
