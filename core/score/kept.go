package score

// Retention is what one team's and kind's work keeps in a second run, such as one under a flood.
type Retention struct {
	Team string `json:"team"`
	Kind string `json:"kind"`
	// Throughput is the share of the jobs offered that were complete, over that of the first run.
	Throughput float64 `json:"throughput"`
	// P99 is the p99 of response over ideal, over that of the first run.
	P99 float64 `json:"p99"`
}

// Compare gives what the work of a keeps in b; work that b has none of keeps nothing, FloodTeam's is left out.
func Compare(a, b *Score) []Retention {
	other := map[[2]string]*Row{}
	for _, r := range b.Rows() {
		other[[2]string{r.Team, r.Kind}] = r
	}
	var out []Retention
	for _, was := range a.Rows() {
		if was.Team == FloodTeam {
			continue
		}
		k := Retention{Team: was.Team, Kind: was.Kind}
		if is := other[[2]string{was.Team, was.Kind}]; is != nil {
			k.Throughput = over(is.completeShare(), was.completeShare())
			k.P99 = over(is.OverIdeal.P99, was.OverIdeal.P99)
		}
		out = append(out, k)
	}
	return out
}

func (r *Row) completeShare() float64 { return over(float64(r.Outcomes[Complete]), float64(r.Jobs)) }

func over(a, b float64) float64 {
	if b == 0 {
		return 0
	}
	return a / b
}
