# make demo: the main job, on a fresh machine with Go and make only.
# make test: the whole suite with formatter, vet and linter.
GOLANGCI := github.com/golangci/golangci-lint/v2/cmd/golangci-lint@v2.15.0
BIN := bin
SECONDS ?= 60

.PHONY: all build demo test unit format vet lint bench experiments capacity soak soak-fleet generate clean

all: build

build:
	go build -o $(BIN)/ ./cmd/...

demo: build
	GERANIUM_BIN=$(CURDIR)/$(BIN) go test -count=1 -timeout 180s ./e2e -run TestDemo -v

test: format vet lint unit

format:
	@unformatted=$$(gofmt -l $$(git ls-files '*.go' | grep -v -e '\.pb\.go$$' -e '\.twirp\.go$$')); \
	if [ -n "$$unformatted" ]; then echo "run gofmt -w on: $$unformatted"; exit 1; fi

vet:
	go vet ./... && go vet -tags "bench capacity" ./e2e ./controlbench

lint:
	go run $(GOLANGCI) run --allow-parallel-runners ./...

# The end-to-end tests run after the others, so that they have the machine to
# themselves: they check times that callers see. Those that KNOWN-RED.txt lists are
# left out; .ci/run prints them. The test of an upgrade is skipped in
# a clone that lacks the released commit.
unit: build
	GERANIUM_BIN=$(CURDIR)/$(BIN) go test -race -count=1 -timeout 900s $$(go list ./... | grep -v /e2e)
	released=$$(scripts/released.sh $(BIN)/released && echo $(CURDIR)/$(BIN)/released); \
	GERANIUM_RELEASED_BIN=$$released GERANIUM_BIN=$(CURDIR)/$(BIN) go test -count=1 -timeout 900s -parallel 3 -skip "$$(scripts/known-red.sh)" ./e2e

# Figures go to standard output, everything else to standard error.
bench: SHELL := /bin/bash
bench: .SHELLFLAGS := -o pipefail -c
bench: build
	GERANIUM_BIN=$(CURDIR)/$(BIN) scripts/bench.sh
	GERANIUM_BIN=$(CURDIR)/$(BIN) go test -tags bench -count=1 -timeout 600s -v ./controlbench \
	  | awk '/^\{/ {print; next} {print > "/dev/stderr"}'

experiments:
	go run ./cmd/geranium-experiments

capacity: build
	GERANIUM_BIN=$(CURDIR)/$(BIN) go test -tags capacity -count=1 -timeout 1200s -run TestCapacity -v ./e2e

soak:
	GERANIUM_SOAK_SECONDS=$(SECONDS) go test -count=1 -timeout 0 -run Soak ./raft ./wal ./state ./scheduler/... ./routing ./control
	GERANIUM_SOAK_SECONDS=$(SECONDS) go test -count=1 -timeout 0 -run TestDispatch ./jobs/dispatch

# A fault soak of the real programs with fresh seeds, or from SEED on.
soak-fleet: build
	GERANIUM_BIN=$(CURDIR)/$(BIN) GERANIUM_SOAK_SECONDS=$(SECONDS) GERANIUM_SOAK_SEED=$(SEED) \
	  go test -count=1 -timeout 0 -run TestJobSoak -v ./e2e

generate:
	scripts/generate.sh

clean:
	rm -rf $(BIN)
