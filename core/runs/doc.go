// Package runs decides at an agent what runs at its target: it starts what entries order, lets it wait some milliseconds for
// room, or refuses it; stops what is withdrawn or whose entry has fallen silent; holds the lease under which everything runs; and
// tells each entry the end of each of its attempts. An end is told only when the attempt doesn't run and won't, also where answers
// of the target were lost, came late or were carried out late.
//
// It is stepped by one goroutine with the present time of a clock that counts suspensions, and keeps no clock. The life of a
// run is the state chart in run.chart.toml.
package runs
