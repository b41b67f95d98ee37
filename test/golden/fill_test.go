package golden

import (
	"encoding/base64"
	"os"
	"regexp"
	"strconv"
	"strings"
	"time"

	"github.com/rogpeppe/go-internal/testscript"
)

// fixedWidth is RFC 3339 with trailing zeros kept, so that the size of a body is always the same.
const fixedWidth = "2006-01-02T15:04:05.000000Z07:00"

var variable = regexp.MustCompile(`\$\{([A-Za-z0-9_]+)(?:([:+-])([0-9a-z]+))?\}`)

// fill FILE... replaces in the files ${NAME} by the variable's value, ${now+1m} and ${now-1m} by an RFC 3339 time,
// ${payload:N} by the base64 text of N bytes, ${tasks:N} by N small tasks, ${sheets:N} by N tasks
// of half a second and ${zone} by a time zone in which it is about noon.
func fill(ts *testscript.TestScript, _ bool, files []string) {
	for _, file := range files {
		text := variable.ReplaceAllStringFunc(ts.ReadFile(file), func(found string) string {
			m := variable.FindStringSubmatch(found)
			return value(ts, m[1], m[2], m[3])
		})
		ts.Check(os.WriteFile(ts.MkAbs(file), []byte(text), 0o600))
	}
}

func value(ts *testscript.TestScript, name, operator, operand string) string {
	switch name {
	case "now":
		return moment(ts, operator+operand)
	case "zone":
		return noonZone(time.Now().UTC())
	case "payload":
		return base64.StdEncoding.EncodeToString(make([]byte, count(ts, operand)))
	case "tasks":
		return repeated("x", count(ts, operand))
	case "sheets":
		return repeated(`{"work-ms": 500, "text": "sheet"}`, count(ts, operand))
	}
	return ts.Getenv(name)
}

// noonZone returns a time zone in which it is about noon, so that no session spans midnight.
func noonZone(now time.Time) string {
	const noon = 12
	if west := now.Hour() - noon; west >= 0 {
		return "Etc/GMT+" + strconv.Itoa(west)
	}
	return "Etc/GMT-" + strconv.Itoa(noon-now.Hour())
}

func moment(ts *testscript.TestScript, offset string) string {
	now := time.Now().UTC()
	if offset != "" {
		d, err := time.ParseDuration(offset)
		ts.Check(err)
		now = now.Add(d)
	}
	return now.Format(fixedWidth)
}

// repeated returns n tasks with the same payload, as JSON separated by commas.
func repeated(payload string, n int) string {
	task := `{"payload": "` + base64.StdEncoding.EncodeToString([]byte(payload)) + `"}`
	return strings.TrimSuffix(strings.Repeat(task+",", n), ",")
}

func count(ts *testscript.TestScript, text string) int {
	n, err := strconv.Atoi(text)
	ts.Check(err)
	return n
}
