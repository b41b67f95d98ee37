package verb

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"os/user"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/google/uuid"
	"github.com/urfave/cli/v3"

	"persimmonstage/core/fold"
	"persimmonstage/io/confap"
)

const (
	publishAttempts = 3
	publishTimeout  = 15 * time.Second
)

// configPublish publishes a folder as the version in force.
func configPublish() *cli.Command {
	return &cli.Command{
		Name:      "publish",
		Usage:     "check a folder and make it the version in force",
		ArgsUsage: "FOLDER",
		Description: "The version refines --base, by default the one in force when the command starts; if another operator was\n" +
			"faster, nothing is published and the keys that changed are shown. \"Published\" is printed only once the entry\n" +
			"has read the version back from the log as applied. After an unclear answer the command repeats itself with the\n" +
			"same id, which is safe.\n\n" +
			"Example: persimmonstage config publish --entry http://127.0.0.1:8080 --base 41 ./config",
		Flags: []cli.Flag{
			entryFlag(), operatorFlag(), jsonFlag(),
			&cli.Int64Flag{Name: "base", Value: -1, Usage: "the `VERSION` that the folder refines", DefaultText: "the one in force"},
			&cli.StringFlag{Name: "author", Usage: "who publishes", DefaultText: "the user's name"},
			&cli.StringFlag{Name: "id", Usage: "the `UUID` of an earlier try that had no clear answer"},
		},
		Action: runConfigPublish,
	}
}

type publication struct {
	ID       string `json:"id"`
	Base     int64  `json:"base"`
	Author   string `json:"author"`
	Document string `json:"document"`
}

type publishResult struct {
	Version int64        `json:"version"`
	Base    int64        `json:"base"`
	Changes []changeLine `json:"changes"`
}

func runConfigPublish(ctx context.Context, c *cli.Command) error {
	if err := rejectExtraArgs(c, 1); err != nil {
		return err
	}
	files, err := readFolder(c.Args().First())
	if err != nil {
		return prefixError(c, err)
	}
	doc, faults := mergeFolder(files)
	if len(faults) > 0 {
		return prefixError(c, reportFaults(c, faults))
	}
	result, err := publishDocument(ctx, c, doc)
	if err != nil {
		return prefixError(c, err)
	}
	if c.Bool("json") {
		return printJSON(c.Root().Writer, result)
	}
	printLines(c.Root().Writer, "", result.Changes)
	fmt.Fprintf(c.Root().Writer, "published: version %d, refining %d\n", result.Version, result.Base)
	return nil
}

func publishDocument(ctx context.Context, c *cli.Command, doc fold.Document) (publishResult, error) {
	a := newAdminClient(c)
	before, base, err := a.document(c.Int64("base"))
	if err != nil {
		return publishResult{}, err
	}
	p := publication{ID: c.String("id"), Base: base, Author: author(c), Document: string(doc.TOML())}
	if p.ID == "" {
		p.ID = uuid.NewString()
	}
	version, err := a.publish(ctx, p)
	return publishResult{Version: version, Base: base, Changes: difference(before, doc)}, err
}

// document returns the document and number of a version; -1 stands for the version in force.
func (a adminClient) document(version int64) (fold.Document, int64, error) {
	query := ""
	if version >= 0 {
		query = fmt.Sprintf("version=%d", version)
	}
	var shown shownConfig
	if _, err := a.get(query, &shown); err != nil {
		return fold.Document{}, 0, err
	}
	doc, err := fold.Parse("document", []byte(shown.Document))
	return doc, shown.Version, err
}

// publish sends a publication, at most publishAttempts times, until its outcome is known.
func (a adminClient) publish(ctx context.Context, p publication) (int64, error) {
	body, err := json.Marshal(p)
	if err != nil {
		return 0, err
	}
	for attempt := 1; ; attempt++ {
		status, answer, err := a.client.Do(http.MethodPut, confap.Path, body, time.Now().Add(publishTimeout))
		unclear := err != nil || status == http.StatusGatewayTimeout
		if !unclear {
			return parsePublishAnswer(status, answer)
		}
		if attempt == publishAttempts || ctx.Err() != nil {
			return 0, errors.Newf("not known whether it was published; run again with --base %d --id %s: %v %s", p.Base, p.ID, err, answer)
		}
	}
}

func parsePublishAnswer(status int, body []byte) (int64, error) {
	var out struct {
		Version int64    `json:"version"`
		Current int64    `json:"current"`
		Changed []string `json:"changed"`
	}
	if err := json.Unmarshal(body, &out); err != nil {
		return 0, errors.Newf("answer %d: %s", status, body)
	}
	switch status {
	case http.StatusOK:
		return out.Version, nil
	case http.StatusConflict:
		return 0, &conflictError{current: out.Current, changed: out.Changed}
	}
	return 0, apiError(status, body)
}

func author(c *cli.Command) string {
	if name := c.String("author"); name != "" {
		return name
	}
	if u, err := user.Current(); err == nil && c.String("token") == "" {
		return u.Username
	}
	return "" // the entry uses the name of the token's operator
}

// conflictError reports that another operator published first.
type conflictError struct {
	current int64
	changed []string
}

func (e *conflictError) Error() string {
	if len(e.changed) == 0 {
		return fmt.Sprintf("not published: version %d is in force, with the values of the base; publish on it", e.current)
	}
	return fmt.Sprintf("not published: version %d is in force; changed meanwhile: %s", e.current, strings.Join(e.changed, ", "))
}
