package rules

import (
	"testing"

	"persimmonstage/core/fold"
)

func BenchmarkCallerAllowed(b *testing.B) {
	d, err := fold.Parse("", []byte("[teams.kits]\ntoken-hashes = [\""+HashToken("old")+"\", \""+HashToken("new")+"\"]\n"))
	if err != nil {
		b.Fatal(err)
	}
	r := FromDocument(d)
	for _, token := range []string{"new", "wrong"} {
		b.Run(token, func(b *testing.B) {
			b.ReportAllocs()
			for b.Loop() {
				r.CallerAllowed("kits", token)
			}
		})
	}
}
