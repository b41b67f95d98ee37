// Command persimmonstage dispatches sub-second tasks; every verb lives in package verb.
package main

import (
	"os"

	"persimmonstage/io/verb"
)

func main() {
	os.Exit(verb.Main(os.Args, os.Stdin, os.Stdout, os.Stderr))
}
