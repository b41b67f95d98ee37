//go:build review

// Command rig plays the cases of the second review: it starts the programs of the deploy file as separate processes against stand-ins of the
// platform's store, of runners and of clients, which do what PROTOCOL.md says.
//
//	rig CASE RECORD    plays a case and writes what was sent, answered and run to the file RECORD
//
// It exits with 1 if the rule was broken, 0 if it held, and 2 if the case couldn't run. With TROUBLE=0 in the environment it does the same
// without the disruption.
package main

import (
	"fmt"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"time"
)

func jobOf(task string) string {
	id, _, _ := strings.Cut(task, ".")
	return id
}

func main() { os.Exit(play()) }

// play plays the case that the arguments name and returns the exit status.
func play() int {
	if len(os.Args) < 3 {
		fmt.Fprintln(os.Stderr, "rig CASE RECORD")
		os.Exit(2)
	}
	binary, err := filepath.Abs("target/persimmonstage")
	must(err)
	dir, err := os.MkdirTemp("", "rig")
	must(err)
	var w *world
	switch os.Args[1] {
	case "soak":
		seed, _ := strconv.ParseUint(os.Args[3], 10, 64)
		seconds, _ := strconv.Atoi(os.Args[4])
		entries := 3
		calm = os.Getenv("CALM") != ""
		if len(os.Args) > 5 {
			entries, _ = strconv.Atoi(os.Args[5])
		}
		w = newWorld(binary, dir, entries, 6, func(i int) kind {
			k := kind{service: "s1", labels: []string{"a", "k1"}, cpu: 40000, memMB: 32768, guards: false}
			if i%2 == 1 {
				k.service, k.labels = "s2", []string{"b", "k2"}
			}
			return k
		})
		clockRate = 0.98
		soak(w, seed, time.Duration(seconds)*time.Second)
	case "soak2":
		seed, _ := strconv.ParseUint(os.Args[3], 10, 64)
		seconds, _ := strconv.Atoi(os.Args[4])
		clockRate = 0.98
		w = newWorld(binary, dir, 3, 5, sameKinds(kind{service: "s1", labels: []string{"a", "k1"}, cpu: 16000, memMB: 32768, guards: true}))
		soak2(w, seed, time.Duration(seconds)*time.Second)
	case "foreign":
		w = foreignCase(binary, dir)
	case "term":
		w = termCase(binary, dir)
	case "again":
		w = againCase(binary, dir)
	case "drain":
		w = drainCase(binary, dir)
	case "many":
		w = tryMany(binary, dir)
	case "cancel":
		w = cancelCase(binary, dir)
	default:
		fmt.Fprintln(os.Stderr, "rig: no such case")
		os.Exit(2)
	}
	w.close()
	if os.Getenv("KEEP") == "" {
		defer os.RemoveAll(dir)
	}
	for _, p := range append(append([]*process{}, w.entries...), w.agents...) {
		if p.ends > 0 {
			w.rec.breakf("Fault", "%s ended by itself %d times", p.name, p.ends)
		}
	}
	w.rec.write(os.Args[2])
	code := 0
	if w.unplayed != "" {
		fmt.Println("not played:", w.unplayed)
		code = 2
	}
	for _, b := range w.rec.broken {
		fmt.Println(b)
		if code == 0 {
			code = 1
		}
	}
	fmt.Printf("%d jobs, %d runs, %d breaks\n", len(w.rec.jobs), len(w.rec.runs), len(w.rec.broken))
	return code
}
