package verb

import (
	"io"
	"os"

	"github.com/urfave/cli/v3"

	"persimmonstage/io/merge"
)

// readLogs passes the lines of all files to add, in order of time; - is standard input.
func readLogs(c *cli.Command, files []string, add func(text string)) error {
	var m merge.Merge
	for _, file := range files {
		r := c.Root().Reader
		if file != "-" {
			f, err := os.Open(file)
			if err != nil {
				return err
			}
			defer f.Close()
			r = f
		}
		m.Add(file, r)
	}
	return m.Run(add, progressOf(c))
}

// progressOf returns a terminal for progress, or nil.
func progressOf(c *cli.Command) io.Writer {
	f, ok := c.Root().ErrWriter.(*os.File)
	if !ok {
		return nil
	}
	if info, err := f.Stat(); err != nil || info.Mode()&os.ModeCharDevice == 0 {
		return nil
	}
	return f
}
