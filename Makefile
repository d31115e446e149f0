GOLANGCI_VERSION := v2.15.0
TOOLS := $(CURDIR)/.tools

.PHONY: demo test lint generate check-generated known-red model bench bench-full plots capacity soak faultsoak siteplay check-kit bench-platform hunt-platform regression-platform score-platform

demo:
	go run ./cmd/bluebell-demo

# The specs of platform run for several minutes of real time, more beside other load.
test:
	go test -timeout 30m ./...

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

# soak runs bluebell-soak. SOAK sets its flags, for example SOAK="--duration 10s --seed 2".
soak:
	go run ./cmd/bluebell-soak $(SOAK)

# faultsoak runs edge processes under random faults. FAULTSOAK sets the flags of
# bluebell-faultsoak, for example FAULTSOAK="--seed 10 --seeds 50".
faultsoak:
	go run ./cmd/bluebell-faultsoak $(FAULTSOAK)

# siteplay plays a site file of the users' kit with real edge processes. SITEPLAY sets the
# flags of bluebell-siteplay, for example SITEPLAY="--seed 10 --seeds 5 --troubles 16".
siteplay: check-kit
	go run ./cmd/bluebell-siteplay --site $(SITE_FILE) $(SITEPLAY)

# model checks 1,000,000 random histories of idempotency claims and of the
# resolution of outcomes. The test target checks 20,000.
model:
	go test ./internal/model -timeout 3h -ginkgo.timeout=3h -ginkgo.focus='every promise' -histories=1000000 -workers=8

# KNOWN_RED are the packages with tests behind the build tag knownred.
KNOWN_RED := ./internal/bench ./internal/scenario ./internal/systems/poison ./platform

# known-red runs the tests behind the build tag knownred, which fail because of
# known faults. KNOWN-RED.txt describes the faults.
known-red:
	go test -tags knownred $(KNOWN_RED)

# KIT is the directory of the users' benchmark. It is next to the repository and does
# not exist in CI. SITE is the name of a site file in one of SITE_DIRS.
KIT := ../given/kit/more/system
FLEETBENCH := $(KIT)/more/bench-d17393/bin/fleetbench
SITE_DIRS := large further further-grown grown sites
SITE ?= smalt-desk-large
SITE_FILE = $(firstword $(foreach dir,$(SITE_DIRS),$(wildcard $(KIT)/$(dir)/$(SITE).toml)))
# REGRESSION_SITES are the sites of the regular runs.
REGRESSION_SITES := smalt-desk-large shantipaws-kathmandu shantipaws-kathmandu-grown smalt-desk-grown ikirere-grants-grown
DAY ?= quiet-1
DAYS ?= 8

check-kit:
	@test -x $(FLEETBENCH) || { echo "no bench at $(KIT): it is handed over with the users' kit"; exit 1; }
	@test -n "$(SITE_FILE)" || { echo "no site file $(SITE).toml in $(SITE_DIRS)"; exit 1; }

# bench-platform runs one day of the users' benchmark: make bench-platform SITE=smalt-desk-large DAY=trouble-1.
bench-platform: check-kit
	$(FLEETBENCH) run $(SITE_FILE) $(DAY)

# hunt-platform runs DAYS days of the users' benchmark with varying random seeds:
# make hunt-platform SITE=shantipaws-kathmandu DAYS=40.
hunt-platform: check-kit
	$(FLEETBENCH) hunt $(SITE_FILE) --days $(DAYS)

# regression-platform scores the quick days of REGRESSION_SITES, one site after another.
regression-platform: check-kit
	@for site in $(REGRESSION_SITES); do \
		$(MAKE) --no-print-directory score-platform SITE=$$site || exit 1; \
	done

# score-platform scores the quick days of one site.
score-platform: check-kit
	$(FLEETBENCH) score $(SITE_FILE) --quick --jobs 3
