package score

// Retention compares the work of one team and kind in a second run, such as one under a flood, with the first run.
type Retention struct {
	Team string `json:"team"`
	Kind string `json:"kind"`
	// Throughput is the fraction of the submitted jobs that were complete, divided by that of the first run.
	Throughput float64 `json:"throughput"`
	// P99 is the p99 of response over ideal time, divided by that of the first run.
	P99 float64 `json:"p99"`
}

// Compare returns the retention in b of the work in a; it is zero for work that is missing in b. FloodTeam is left out.
func Compare(a, b *Score) []Retention {
	rowsOfB := map[[2]string]*Row{}
	for _, r := range b.Rows() {
		rowsOfB[[2]string{r.Team, r.Kind}] = r
	}
	var out []Retention
	for _, first := range a.Rows() {
		if first.Team == FloodTeam {
			continue
		}
		k := Retention{Team: first.Team, Kind: first.Kind}
		if second := rowsOfB[[2]string{first.Team, first.Kind}]; second != nil {
			k.Throughput = divide(second.completeShare(), first.completeShare())
			k.P99 = divide(second.OverIdeal.P99, first.OverIdeal.P99)
		}
		out = append(out, k)
	}
	return out
}

func (r *Row) completeShare() float64 { return divide(float64(r.Outcomes[Complete]), float64(r.Jobs)) }

func divide(a, b float64) float64 {
	if b == 0 {
		return 0
	}
	return a / b
}
