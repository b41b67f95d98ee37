// Command persimmonstage dispatches sub-second tasks; package verb implements its commands.
package main

import (
	"os"

	"persimmonstage/io/verb"
)

func main() {
	os.Exit(verb.Main(os.Args, os.Stdin, os.Stdout, os.Stderr))
}
