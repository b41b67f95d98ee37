package verb

import (
	"bytes"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

func TestLoadRejectsInvalidFlagsBeforeSending(t *testing.T) {
	for args, want := range map[string]string{
		"load": "entry: missing",
		"load --entry http://10.1.2.3:80 --rate 1":               "not on loopback",
		"load --entry http://127.0.0.1:1":                        "rate: 0 jobs per second",
		"load --entry http://127.0.0.1:1 --utilization 0.3":      "slots: missing",
		"load --entry http://127.0.0.1:1 --rate 1 --flood least": "slots: missing",
		"load --entry http://127.0.0.1:1 --rate 1 --tasks 161":   "tasks: 161",
		"load compare --rate 1 http://127.0.0.1:1":               "two sets",
	} {
		var out, errs bytes.Buffer
		root := loadCommand()
		root.Writer, root.ErrWriter = &out, &errs
		require.ErrorContains(t, root.Run(t.Context(), strings.Fields(args)), want, args)
	}
}
