package verb

import (
	"bytes"
	"context"
	"net/url"
	"os"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/urfave/cli/v3"

	"persimmonstage/core/digest"
	"persimmonstage/io/caller"
	"persimmonstage/io/page"
)

const (
	reportPath     = "/v1/admin/report"
	reportFileMode = 0o644
	maxErrorShown  = 300
)

// report prints the owner's account of a day.
func report() *cli.Command {
	return &cli.Command{
		Name:  "report",
		Usage: "print whether a day went well, which work suffered and why",
		Description: "Asks an entry for the account of a local day: did it go well, which work suffered and why, what happened,\n" +
			"and how fast the answers came. The same stands as a page at / of any entry. Exits 0 whether or not the day\n" +
			"went well; the field went of --json says well, badly or unsure.\n\n" +
			"Examples:\n" +
			"  persimmonstage report --entry http://127.0.0.1:8080\n" +
			"  persimmonstage report --day 2026-03-02 --html day.html",
		Flags: []cli.Flag{
			entryFlag(),
			operatorFlag(),
			&cli.StringFlag{Name: "day", Usage: "the day, `YYYY-MM-DD` in the time zone of the entry; today by default"},
			&cli.BoolFlag{Name: "json", Usage: "print the account as JSON"},
			&cli.StringFlag{Name: "html", Usage: "write the page to `FILE` (- for standard output) instead of printing text"},
		},
		Action: runReport,
	}
}

func runReport(_ context.Context, c *cli.Command) error {
	if err := rejectExtraArgs(c, 0); err != nil {
		return err
	}
	if c.Bool("json") && c.IsSet("html") {
		return errors.Newf("%s: --json and --html: only one of them", c.Name)
	}
	if day := c.String("day"); day != "" {
		if _, err := time.Parse(time.DateOnly, day); err != nil {
			return errors.Newf("%s: --day: %q is not a date in the form YYYY-MM-DD", c.Name, day)
		}
	}
	body, err := fetchReport(c)
	if err != nil {
		return prefixError(c, err)
	}
	return prefixError(c, printReport(c, body))
}

func fetchReport(c *cli.Command) ([]byte, error) {
	query := url.Values{"form": {"json"}}
	if day := c.String("day"); day != "" {
		query.Set("day", day)
	}
	client := caller.New(trimSlash(c.String("entry")), c.String("token"))
	status, body, err := client.Do("GET", reportPath+"?"+query.Encode(), nil, time.Now().Add(adminTimeout))
	if err != nil {
		return nil, err
	}
	if status != statusOK {
		return nil, errors.Newf("answer %d: %s", status, strings.TrimSpace(string(body[:min(len(body), maxErrorShown)])))
	}
	return body, nil
}

func printReport(c *cli.Command, body []byte) error {
	out := c.Root().Writer
	if c.Bool("json") {
		_, err := out.Write(body)
		return err
	}
	d, err := digest.Decode(body)
	if err != nil {
		return errors.Wrap(err, "the entry's answer")
	}
	if !c.IsSet("html") {
		return page.New(d).WriteText(out)
	}
	var html bytes.Buffer
	if err := page.New(d).WriteHTML(&html); err != nil {
		return err
	}
	if c.String("html") == "-" {
		_, err := out.Write(html.Bytes())
		return err
	}
	return errors.Wrap(os.WriteFile(c.String("html"), html.Bytes(), reportFileMode), "--html")
}
