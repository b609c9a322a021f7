BIN := $(CURDIR)/bin

GO_JSONSCHEMA_VERSION := v0.24.1
GOFUMPT_VERSION := v0.12.0
GOLANGCI_LINT_VERSION := v2.15.0

.PHONY: build generate

build:
	go build -o $(BIN)/chivehill ./cmd/chivehill
	go build -o $(BIN)/chivehill-standin ./cmd/chivehill-standin

generate: $(BIN)/go-jsonschema
	$(BIN)/go-jsonschema -p chivehillwire -t --only-models --tags json --disable-omitzero --capitalization ID -o internal/chivehillwire/wire.go schema/wire.schema.json
	$(BIN)/go-jsonschema -p chivehillwire -t --only-models --tags json --disable-omitzero --capitalization ID -o internal/chivehillwire/settings.go schema/settings.schema.json

$(BIN)/go-jsonschema:
	GOBIN=$(BIN) go install github.com/atombender/go-jsonschema@$(GO_JSONSCHEMA_VERSION)
