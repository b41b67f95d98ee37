package count

import (
	"bytes"
	"encoding/json"
	"strconv"
	"strings"
	"time"

	"github.com/cockroachdb/errors"

	"persimmonstage/io/caller"
)

const readTimeout = 5 * time.Second

// Counts holds sums of counters over the processes read; control bytes include both directions.
type Counts struct {
	Orders            float64 `json:"orders"`
	Reserves          float64 `json:"reserves"`
	Withdraws         float64 `json:"withdraws"`
	Queries           float64 `json:"queries"`
	Refusals          float64 `json:"agent-refusals"`
	EntryControlBytes float64 `json:"entry-control-bytes"`
	AgentStarts       float64 `json:"agent-starts"`
	AgentControlBytes float64 `json:"agent-control-bytes"`
	TargetStarts      float64 `json:"target-starts"`
	StartedTwice      float64 `json:"tasks-started-twice"`
}

// Read reads the metrics of entries and agents and the starts of stand-in targets; the lists hold base URLs.
func Read(entries, agents, targets []string) (Counts, error) {
	var c Counts
	for _, base := range entries {
		m, err := metrics(base)
		if err != nil {
			return c, err
		}
		c.Orders += m["persimmonstage_entry_starts_total"]
		c.Reserves += m["persimmonstage_entry_reserves_total"]
		c.Withdraws += m["persimmonstage_entry_withdraws_total"]
		c.Queries += m["persimmonstage_entry_queries_total"]
		c.Refusals += m["persimmonstage_entry_agent_refusals_total"]
		c.EntryControlBytes += m["persimmonstage_control_bytes_total"]
	}
	for _, base := range agents {
		m, err := metrics(base)
		if err != nil {
			return c, err
		}
		c.AgentStarts += m["persimmonstage_agent_starts_total"]
		c.AgentControlBytes += m["persimmonstage_control_bytes_total"]
	}
	for _, base := range targets {
		if err := c.addTarget(base); err != nil {
			return c, err
		}
	}
	return c, nil
}

func get(base, path string) ([]byte, error) {
	status, body, err := caller.New(base, "").Do("GET", path, nil, time.Now().Add(readTimeout))
	if err != nil {
		return nil, errors.Wrapf(err, "%s%s", base, path)
	}
	if status != 200 {
		return nil, errors.Newf("%s%s: status %d", base, path, status)
	}
	return body, nil
}

func metrics(base string) (map[string]float64, error) {
	body, err := get(base, "/metrics")
	if err != nil {
		return nil, err
	}
	return parse(body), nil
}

// parse parses the text format of the metrics; the values of all series with one name are summed.
func parse(text []byte) map[string]float64 {
	out := make(map[string]float64)
	for line := range bytes.Lines(text) {
		fields := strings.Fields(string(line))
		if len(fields) < 2 || fields[0][0] == '#' {
			continue
		}
		name, _, _ := strings.Cut(fields[0], "{")
		if v, err := strconv.ParseFloat(fields[len(fields)-1], 64); err == nil {
			out[name] += v
		}
	}
	return out
}

func (c *Counts) addTarget(base string) error {
	body, err := get(base, "/starts")
	if err != nil {
		return err
	}
	var s struct {
		Total   int      `json:"total"`
		Doubled []string `json:"doubled"`
	}
	if err := json.Unmarshal(body, &s); err != nil {
		return errors.Wrapf(err, "%s/starts", base)
	}
	c.TargetStarts += float64(s.Total)
	c.StartedTwice += float64(len(s.Doubled))
	return nil
}

// Add adds the counts of other times factor, so that -1 subtracts them.
func (c *Counts) Add(other *Counts, factor float64) {
	c.Orders += factor * other.Orders
	c.Reserves += factor * other.Reserves
	c.Withdraws += factor * other.Withdraws
	c.Queries += factor * other.Queries
	c.Refusals += factor * other.Refusals
	c.EntryControlBytes += factor * other.EntryControlBytes
	c.AgentStarts += factor * other.AgentStarts
	c.AgentControlBytes += factor * other.AgentControlBytes
	c.TargetStarts += factor * other.TargetStarts
	c.StartedTwice += factor * other.StartedTwice
}

// Starts returns the number of starts from the processes closest to the targets: targets, else agents, else entries. For
// entries it is the orders less the refusals, except for refusals caused by a withdrawal.
func (c *Counts) Starts() float64 {
	switch {
	case c.TargetStarts > 0:
		return c.TargetStarts
	case c.AgentStarts > 0:
		return c.AgentStarts
	}
	return c.Orders - max(0, c.Refusals-c.Withdraws)
}

// MessagesPerStart returns the placement messages per start: orders, reservations, withdrawals, queries and refusals.
func (c *Counts) MessagesPerStart() float64 {
	return (c.Orders + c.Reserves + c.Withdraws + c.Queries + c.Refusals) / max(1, c.Starts())
}

// WastedPerStart returns the messages per start that led to none: refused reservations and orders, and withdrawals.
func (c *Counts) WastedPerStart() float64 {
	return (c.Withdraws + c.Refusals) / max(1, c.Starts())
}
