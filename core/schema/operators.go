package schema

import (
	"fmt"
	"math"
	"regexp"
	"strings"

	"persimmonstage/core/cfgerr"
	"persimmonstage/core/fold"
	"persimmonstage/core/lines"
)

// Limits of the operators' configuration.
const (
	// MaxTasksPerJob is the maximum number of tasks in a job that can be configured.
	MaxTasksPerJob = 160
	// MaxTeams is the maximum number of teams in a document.
	MaxTeams = 1000
	// MaxDocumentBytes is the maximum size of a rendered document, which must fit into a log record as JSON.
	MaxDocumentBytes = 512 << 10

	maxWeight    = 1000
	maxQuota     = 10_000_000
	maxHosts     = 4096
	maxHashes    = 16
	maxUrgency   = 9
	maxRunTimeMS = 24 * 60 * 60 * 1000
	maxSkewMS    = 60_000
)

var (
	hashPattern   = regexp.MustCompile(`^[0-9a-f]{64}$`)
	hostPattern   = regexp.MustCompile(`^[A-Za-z0-9][A-Za-z0-9.:_-]{0,127}$`)
	accessPattern = regexp.MustCompile(`^(open|tokens)$`)
)

const (
	hashDoc   = "the SHA-256 of a token in 64 lower-case hexadecimal digits"
	hostDoc   = "1 to 128 of letters, digits, '.', ':', '_' and '-'"
	accessDoc = `"open" or "tokens"`
)

// Operators returns the declared keys of the operators' configuration.
func Operators() Table {
	return Table{rows: []row{
		accessRow("access.callers", `"tokens"`, "`tokens`: a caller needs a token of its team; `open`: any team name and no token"),
		accessRow("access.operators", `"tokens"`, "`tokens`: the administration API needs an operator's token; `open`: none"),
		hostListRow("drain.data-centres", "data centres (as in the agents' settings) whose targets get no new work"),
		hostListRow("drain.hosts", "hosts (by the name or the IP number in the agent's settings) that get no new work"),
		hostListRow("drain.targets", "targets (by the agent's name) that get no new work"),
		intRow("limits.body-bytes", 1024, 64<<20, "16777216", "the largest request body, in bytes"),
		intRow("limits.header-bytes", 1024, 64<<10, "8192", "the largest request header, in bytes"),
		intRow("limits.issued-skew-ms", 0, maxSkewMS, "2000", "how far `issued` may lie in an entry's future, in milliseconds"),
		intRow("limits.max-deadline-ms", 1000, maxRunTimeMS, "600000", "the longest time from `issued` to `deadline`, in milliseconds"),
		intRow("limits.payload-bytes", 1, 1<<20, "65536", "the largest payload of one task before base64, in bytes"),
		intRow("limits.tasks-per-job", 1, MaxTasksPerJob, "160", "the most tasks in one job"),
		{
			path: strings.Split("operators.NAME.token-hash", "."), kind: text, pattern: hashPattern, patternDoc: hashDoc,
			doc: "the operator's token, as " + hashDoc,
		},
		{
			path: strings.Split("retries.share", "."), kind: number, min: 0, max: 1, fallback: "0.1",
			doc: "retries as a share of starts; above it a task waits, until its deadline, for starts that pay for one",
		},
		{
			path: strings.Split("teams.NAME.token-hashes", "."), kind: list, max: maxHashes, pattern: hashPattern, patternDoc: hashDoc,
			fallback: "[]", doc: "the tokens that the team's callers may use, each as " + hashDoc + "; two during a rotation",
		},
		intRow("teams.NAME.quota-running", 0, maxQuota, "0", "the most tasks of the team that run at once; 0: no quota"),
		intRow("teams.NAME.quota-starts-per-second", 0, maxQuota, "0", "the most task starts a second; 0: no quota"),
		intRow("teams.NAME.weight", 1, maxWeight, "1", "the team's share of capacity against the other teams'"),
		intRow("teams.NAME.kinds.NAME.expected-ms", 0, maxRunTimeMS, "0",
			"the run time expected of a task, in milliseconds; 0: learned"),
		intRow("teams.NAME.kinds.NAME.urgency", 0, maxUrgency, "5", "the order inside the team's share; 9 goes first"),
		intRow("teams.NAME.kinds.NAME.weight", 1, maxWeight, "1", "the kind's share of the team's share"),
	}}
}

func intRow(path string, least, most float64, fallback, doc string) row {
	return row{path: strings.Split(path, "."), kind: integer, min: least, max: most, fallback: fallback, doc: doc}
}

func accessRow(path, fallback, doc string) row {
	return row{
		path: strings.Split(path, "."), kind: text, pattern: accessPattern, patternDoc: accessDoc, fallback: fallback, doc: doc,
	}
}

func hostListRow(path, doc string) row {
	return row{
		path: strings.Split(path, "."), kind: list, max: maxHosts, pattern: hostPattern, patternDoc: hostDoc, fallback: "[]", doc: doc,
	}
}

// CheckMerged returns the errors visible only in the merged document: its size, its number of teams, repeated operator
// tokens, and a document that would lock all operators out.
func CheckMerged(d fold.Document) []*cfgerr.Error {
	var faults []*cfgerr.Error
	add := func(key, reason string) {
		file, line := d.Origin(strings.Split(key, ".")...)
		faults = append(faults, cfgerr.New(file, line, key, reason))
	}
	if n := len(d.TOML()); n > MaxDocumentBytes {
		add("", fmt.Sprintf("the merged document takes %d bytes: must be at most %d", n, MaxDocumentBytes))
	}
	if n := countTeams(d); n > MaxTeams {
		add("teams", fmt.Sprintf("%d teams: must be at most %d", n, MaxTeams))
	}
	access, _ := d.Value("access", "operators")
	hashes := operatorHashes(d, add)
	if access != "open" && len(hashes) == 0 {
		add("access.operators", `no operator has a token-hash: nobody could publish again; add one under [operators.NAME], or set "open"`)
	}
	return faults
}

func countTeams(d fold.Document) int {
	teams := make(map[string]bool)
	d.Each(func(key []string, _ string, _ any, _ string, _ int) {
		if len(key) > 1 && key[0] == "teams" {
			teams[key[1]] = true
		}
	})
	return len(teams)
}

func operatorHashes(d fold.Document, add func(key, reason string)) map[any]string {
	hashes := make(map[any]string)
	d.Each(func(key []string, _ string, value any, _ string, _ int) {
		if len(key) != 3 || key[0] != "operators" {
			return
		}
		if other, ok := hashes[value]; ok {
			add(dotted(key), "the same token as "+other)
		}
		hashes[value] = dotted(key)
	})
	return hashes
}

func dotted(key []string) string { return lines.Dotted(key) }

// Markdown renders the keys as a table for the operators' documentation.
func (t Table) Markdown() string {
	var b strings.Builder
	b.WriteString("| key | type | limits | default | meaning |\n|---|---|---|---|---|\n")
	for _, r := range t.rows {
		fallback := "none"
		if r.fallback != "" {
			fallback = "`" + r.fallback + "`"
		}
		fmt.Fprintf(&b, "| `%s` | %s | %s | %s | %s |\n", strings.Join(r.path, "."), r.kind, r.limits(), fallback, r.doc)
	}
	return b.String()
}

func (r row) limits() string {
	switch r.kind {
	case integer:
		return fmt.Sprintf("%d to %d", int64(math.Round(r.min)), int64(math.Round(r.max)))
	case number:
		return fmt.Sprintf("%g to %g", r.min, r.max)
	case list:
		return fmt.Sprintf("at most %d items", int(r.max))
	}
	return r.patternDoc
}
