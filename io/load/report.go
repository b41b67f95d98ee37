package load

import (
	"encoding/json"
	"fmt"
	"io"
	"slices"
	"strings"
	"text/tabwriter"

	"persimmonstage/core/score"
	"persimmonstage/io/count"
	"persimmonstage/io/plot"
)

// phaseJSON is one phase in the report.
type phaseJSON struct {
	Name            string       `json:"name"`
	Seconds         float64      `json:"seconds"`
	Rate            float64      `json:"jobs-per-second"`
	LatestMS        float64      `json:"latest-submission-ms"`
	Rows            []*score.Row `json:"rows"`
	Counts          count.Counts `json:"counts"`
	MessagesPer     float64      `json:"messages-per-start"`
	WastedPer       float64      `json:"messages-without-start-per-start"`
	StartsPerSecond float64      `json:"starts-per-second"`
}

func (p *phase) json() phaseJSON {
	return phaseJSON{
		Name: p.name, Seconds: p.seconds, Rate: p.rate, LatestMS: p.late.Seconds() * 1000, Rows: p.score.Rows(), Counts: p.counts,
		MessagesPer: p.counts.MessagesPerStart(), WastedPer: p.counts.WastedPerStart(), StartsPerSecond: p.counts.Starts() / max(p.seconds, 1e-9),
	}
}

// WriteJSON writes the report of all phases, and a comparison of each later phase with the first.
func (g *Generator) WriteJSON(w io.Writer) error {
	out := struct {
		Entries int                          `json:"entries"`
		Slots   float64                      `json:"slots"`
		Phases  []phaseJSON                  `json:"phases"`
		Kept    map[string][]score.Retention `json:"kept"`
	}{Entries: len(g.Entries), Slots: g.Slots, Kept: map[string][]score.Retention{}}
	for i, p := range g.phases {
		out.Phases = append(out.Phases, p.json())
		if i > 0 {
			out.Kept[p.name] = score.Compare(&g.phases[0].score, &p.score)
		}
	}
	e := json.NewEncoder(w)
	e.SetIndent("", "  ")
	return e.Encode(out)
}

// WriteSVG draws the distribution of the work of each phase over all kinds; it writes nothing if no job is complete.
func (g *Generator) WriteSVG(w io.Writer) error {
	var drawing plot.Plot
	drawn := false
	for _, p := range g.phases {
		rows := p.score.Rows()
		if len(rows) == 0 {
			continue
		}
		drawing.Add(p.name, rows[len(rows)-1])
		drawn = drawn || rows[len(rows)-1].Outcomes[score.Complete] > 0
	}
	if !drawn {
		return nil
	}
	return drawing.WriteSVG(w)
}

// WriteTable writes the report as text tables.
func (g *Generator) WriteTable(w io.Writer) error {
	for i, p := range g.phases {
		if err := p.writeTable(w); err != nil {
			return err
		}
		if i == 0 {
			continue
		}
		if err := WriteKept(w, g.phases[0].name, p.name, score.Compare(&g.phases[0].score, &p.score)); err != nil {
			return err
		}
	}
	return nil
}

func (p *phase) writeTable(out io.Writer) error {
	j := p.json()
	fmt.Fprintf(out, "%s: %.1f s, %.1f jobs/s offered, %.1f starts/s, submissions at most %.1f ms late\n", j.Name, j.Seconds, j.Rate, j.StartsPerSecond, j.LatestMS)
	w := tabwriter.NewWriter(out, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintln(w, "team\tkind\tjobs\tcomplete\ttasks\tideal p50\tp95\tp99\tfloor p50\tp95\tp99\t")
	for _, r := range j.Rows {
		fmt.Fprintf(w, "%s\t%s\t%d\t%d\t%d\t%.3f\t%.3f\t%.3f\t%.3f\t%.3f\t%.3f\t\n", r.Team, r.Kind, r.Jobs, r.Outcomes[score.Complete], r.Tasks,
			r.OverIdeal.P50, r.OverIdeal.P95, r.OverIdeal.P99, r.OverFloor.P50, r.OverFloor.P95, r.OverFloor.P99)
	}
	if err := w.Flush(); err != nil {
		return err
	}
	for _, r := range j.Rows {
		if r.Team != "all" && len(r.Reasons) > 0 {
			fmt.Fprintf(out, "%s/%s: %s; reasons: %s\n", r.Team, r.Kind, formatCounts(r.Outcomes), formatCounts(r.Reasons))
		}
	}
	c := &p.counts
	fmt.Fprintf(out, "starts %.0f; messages per start %.3f, without a start %.3f (orders %.0f, reservations %.0f, withdrawals %.0f, questions %.0f, refusals %.0f)\n",
		c.Starts(), j.MessagesPer, j.WastedPer, c.Orders, c.Reserves, c.Withdraws, c.Queries, c.Refusals)
	return nil
}

func formatCounts(counts map[string]int) string {
	var parts []string
	for k, n := range counts {
		parts = append(parts, fmt.Sprintf("%s %d", k, n))
	}
	slices.Sort(parts)
	return strings.Join(parts, ", ")
}

// WriteKept writes the throughput and p99 that the work of run a keeps in run b.
func WriteKept(out io.Writer, a, b string, kept []score.Retention) error {
	fmt.Fprintf(out, "%s over %s:\n", b, a)
	w := tabwriter.NewWriter(out, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintln(w, "team\tkind\tthroughput\tp99\t")
	for _, k := range kept {
		fmt.Fprintf(w, "%s\t%s\t%.3f\t%.3f\t\n", k.Team, k.Kind, k.Throughput, k.P99)
	}
	return w.Flush()
}
