BIN := $(CURDIR)/bin

GO_JSONSCHEMA_VERSION := v0.24.1
GOFUMPT_VERSION := v0.12.0
GOLANGCI_LINT_VERSION := v2.15.0

.PHONY: build run test unit lint format generate soak bench

# Builds all programs.
build:
	go build -o $(BIN)/chivehill ./cmd/chivehill
	go build -o $(BIN)/chivehill-standin ./cmd/chivehill-standin
	go build -o $(BIN)/chivehill-bench ./cmd/chivehill-bench

# Runs the whole path as processes on loopback and judges it.
run: build
	scripts/demo.sh

# Runs all tests, the formatter check and the linter.
test: build unit lint

# The randomised runs are single-threaded, so the race detector would only slow them down.
SIMULATION := github.com/chivehill/chivehill/internal/chivehillsim

unit:
	go test -race -timeout 8m $$(go list ./... | grep -v '^$(SIMULATION)$$')
	go test -timeout 8m $(SIMULATION)

lint: $(BIN)/gofumpt $(BIN)/golangci-lint
	@unformatted=$$($(BIN)/gofumpt -l cmd internal pkg schema); \
	if [ -n "$$unformatted" ]; then echo "not formatted:"; echo "$$unformatted"; exit 1; fi
	$(BIN)/golangci-lint run

format: $(BIN)/gofumpt
	$(BIN)/gofumpt -w cmd internal pkg schema

# Generates the wire types from the schemas.
generate: $(BIN)/go-jsonschema
	$(BIN)/go-jsonschema -p chivehillwire -t --only-models --tags json --disable-omitzero --capitalization ID -o internal/chivehillwire/wire.go schema/wire.schema.json
	$(BIN)/go-jsonschema -p chivehillwire -t --only-models --tags json --disable-omitzero --capitalization ID -o internal/chivehillwire/settings.go schema/settings.schema.json

$(BIN)/go-jsonschema:
	GOBIN=$(BIN) go install github.com/atombender/go-jsonschema@$(GO_JSONSCHEMA_VERSION)

$(BIN)/gofumpt:
	GOBIN=$(BIN) go install mvdan.cc/gofumpt@$(GOFUMPT_VERSION)

$(BIN)/golangci-lint:
	GOBIN=$(BIN) go install github.com/golangci/golangci-lint/v2/cmd/golangci-lint@$(GOLANGCI_LINT_VERSION)
