# The tools are pinned in tools/go.mod; go downloads and builds them on first use.
TOOL := go tool -modfile=tools/go.mod
SOURCES := $(shell git ls-files -co --exclude-standard '*.go' | grep -v '\.pb\.go$$')

# A pattern of the tests named in KNOWN-RED.txt, one entry a line that begins with the test's name; it matches none if there are none.
KNOWN_RED := ^($(shell cat KNOWN-RED.txt 2>/dev/null | awk 'NF { sub(":$$", "", $$1); printf "%s%s", sep, $$1; sep = "|" } END { if (!sep) printf "none" }'))$$

.PHONY: check format lint build test wire accept gopls

check: lint build test

format:
	$(TOOL) gofumpt -w $(SOURCES)

lint:
	@out=$$($(TOOL) gofumpt -l $(SOURCES)); test -z "$$out" || { echo "not formatted: $$out"; exit 1; }
	go vet ./...
	$(TOOL) staticcheck ./...
	$(TOOL) revive -config revive.toml -exclude io/wire/wire.pb.go ./...

build:
	go build ./...

# The search goes less deep under the race detector, so it is run without it as well.
# The tests of callers outside the limits measure the memory of processes, one at a time and apart from other tests.
# The time limit only ends a test that hangs: core/sched alone takes minutes under the race detector.
test:
	go test -timeout 60m -race -skip '$(KNOWN_RED)' $$(go list ./... | grep -v '/test/callers$$')
	go test -timeout 60m -skip '$(KNOWN_RED)' ./core/proof
	go test -timeout 60m -race -count=1 -skip '$(KNOWN_RED)' ./test/callers
	@if test -s KNOWN-RED.txt; then echo "known failures, passed over:"; cat KNOWN-RED.txt; fi

# Regenerates the committed protobuf code; needs protoc on the machine.
wire:
	mkdir -p bin
	go build -modfile=tools/go.mod -o bin/ google.golang.org/protobuf/cmd/protoc-gen-go
	PATH="$(CURDIR)/bin:$$PATH" protoc --go_out=. --go_opt=paths=source_relative io/wire/wire.proto

# Takes the present output of the golden sessions as the expected one.
accept:
	UPDATE_GOLDEN=1 go test ./test/golden ./test/docs ./io/page ./io/verb

# Builds gopls for renames across the module; its dependencies clash with those of the linters, so it has a mod file of its own.
gopls:
	go build -modfile=tools/gopls.mod -o bin/gopls golang.org/x/tools/gopls
