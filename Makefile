# The main targets are `make demo`, `make test`, `make lint` and `make soak`.
BIN := bin
COMMANDS := springrail springrail-entry springrail-agent springrail-standin springrail-measure
SOAK_COMMANDS := springrail-gateway springrail-stager springrail-soak
# The default is one short run with a fixed seed. Others are for example SOAK="--cases" and
# SOAK="--seed 7 --seeds 20 --seconds 120".
SOAK ?= --seed 1 --seconds 45
TOOLS := go tool -modfile=tools/proto/go.mod
GOLANGCI := .bin/golangci-lint
GOLANGCI_VERSION := v2.15.0
GOPLS := .bin/gopls
# The newest version that the Go release in go.mod can build.
GOPLS_VERSION := v0.23.0
# The packages that `make race` tests, chosen for the concurrency of their code.
RACED := ./internal/clock/... ./internal/fleet/... ./internal/kernel/... ./internal/records/... ./internal/reports/... ./internal/transfer/... ./internal/upstream/... ./internal/quarantine/...
# The race detector's own code ends the process in these tests on arm64, in three runs of twenty.
ifneq ($(filter aarch64 arm64,$(shell uname -m)),)
RACED := $(filter-out ./internal/records/...,$(RACED))
endif
PREFIX ?= /usr/local

.PHONY: build demo examples test race soak lint generate stale install clean

build:
	CGO_ENABLED=1 go build -o $(BIN)/ $(addprefix ./cmd/,$(COMMANDS))

demo: build
	BIN=$(BIN) scripts/demo.sh

examples: build
	BIN=$(BIN) scripts/check-examples.sh

# The slowest package, platform, took twenty minutes beside other work.
TEST_TIMEOUT ?= 40m

test:
	go test -count=1 -timeout $(TEST_TIMEOUT) ./...

race:
	go test -race -count=1 -timeout $(TEST_TIMEOUT) $(RACED)

soak:
	CGO_ENABLED=1 go build -o $(BIN)/ $(addprefix ./cmd/,$(SOAK_COMMANDS))
	$(BIN)/springrail-soak --bin $(BIN) $(SOAK)

generate:
	$(TOOLS) buf generate

# stale fails when the committed code is not what the schema generates.
stale:
	$(TOOLS) buf lint
	@dir=$$(mktemp -d); trap 'rm -rf "$$dir"' EXIT; \
	$(TOOLS) buf generate -o "$$dir" && diff -r gen "$$dir/gen" \
	|| { echo "make: the generated code is stale; run: make generate" >&2; exit 1; }

$(GOLANGCI):
	GOBIN=$(CURDIR)/.bin go install github.com/golangci/golangci-lint/v2/cmd/golangci-lint@$(GOLANGCI_VERSION)

# For renames that follow every use: .bin/gopls rename -w FILE:LINE:COLUMN NAME
$(GOPLS):
	GOBIN=$(CURDIR)/.bin go install golang.org/x/tools/gopls@$(GOPLS_VERSION)

lint: stale $(GOLANGCI)
	go vet ./...
	$(GOLANGCI) run ./...

install: build
	install -d $(DESTDIR)$(PREFIX)/bin
	install $(addprefix $(BIN)/,$(COMMANDS)) $(DESTDIR)$(PREFIX)/bin

clean:
	rm -rf $(BIN) .bin
