GOLANGCI_VERSION := v2.15.0
TOOLS := $(CURDIR)/.tools

.PHONY: demo test lint generate check-generated known-red model bench bench-full plots capacity soak faultsoak bench-platform hunt-platform

demo:
	go run ./cmd/bluebell-demo

test:
	go test ./...

lint: $(TOOLS)/golangci-lint-$(GOLANGCI_VERSION)
	test -z "$$(git ls-files '*.go' | xargs gofmt -l)"
	go vet ./...
	$(TOOLS)/golangci-lint-$(GOLANGCI_VERSION) run ./...

$(TOOLS)/golangci-lint-$(GOLANGCI_VERSION):
	mkdir -p $(TOOLS)
	GOBIN=$(TOOLS) go install github.com/golangci/golangci-lint/v2/cmd/golangci-lint@$(GOLANGCI_VERSION)
	mv $(TOOLS)/golangci-lint $@

generate:
	go generate ./internal/api ./internal/event ./internal/observe ./internal/ctl

check-generated: generate
	git diff --exit-code -- internal/api docs/events.md docs/metrics.md docs/operators/errors.md

bench:
	go run ./cmd/bluebell-bench

bench-full:
	go run ./cmd/bluebell-bench --seeds 10 --length 300s --csv bench.csv

plots:
	go run ./cmd/bluebell-bench --plots docs/plots

capacity:
	go run ./cmd/bluebell-capacity docs/capacity docs/CAPACITY.md

# SOAK passes flags, for example SOAK="--duration 10s --seed 2".
soak:
	go run ./cmd/bluebell-soak $(SOAK)

# faultsoak runs real edge processes under random faults; FAULTSOAK passes flags,
# for example FAULTSOAK="--seed 10 --seeds 50".
faultsoak:
	go run ./cmd/bluebell-faultsoak $(FAULTSOAK)

# model checks a million histories of claims and settling; test checks 20,000.
model:
	go test ./internal/model -timeout 3h -ginkgo.timeout=3h -ginkgo.focus='every promise' -histories=1000000 -workers=8

# known-red runs the checks of KNOWN-RED.txt, which fail for a known fault.
known-red:
	go test -tags knownred ./internal/bench

# The users' bench stands beside the repository and is absent in CI.
KIT := ../given/kit/more/system
SITE ?= smalt-desk
DAY ?= quiet-1
DAYS ?= 40

# bench-platform plays one day: make bench-platform SITE=smalt-desk DAY=quiet-1.
bench-platform:
	@test -x $(KIT)/bin/fleetbench || { echo "no bench at $(KIT): it is handed over with the users' kit"; exit 1; }
	$(KIT)/bin/fleetbench run $(KIT)/sites/$(SITE).toml $(DAY)

# hunt-platform plays days with other luck: make hunt-platform SITE=smalt-desk DAYS=40.
hunt-platform:
	@test -x $(KIT)/bin/fleetbench || { echo "no bench at $(KIT): it is handed over with the users' kit"; exit 1; }
	$(KIT)/bin/fleetbench hunt $(KIT)/sites/$(SITE).toml --days $(DAYS)
