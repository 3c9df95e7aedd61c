GOLANGCI := go run github.com/golangci/golangci-lint/v2/cmd/golangci-lint@v2.15.0
GOFUMPT := go run mvdan.cc/gofumpt@v0.12.0
HAND_WRITTEN = $(shell git ls-files -co --exclude-standard '*.go' | grep -v -e '\.pb\.go$$' -e '\.connect\.go$$')

.PHONY: build test lint format demo measure soak generate

build:
	go build -o bin/ ./cmd/...

test:
	bash scripts/test.sh

lint:
	@unformatted="$$($(GOFUMPT) -l $(HAND_WRITTEN))"; \
	if [ -n "$$unformatted" ]; then echo "not formatted with gofumpt:"; echo "$$unformatted"; exit 1; fi
	$(GOLANGCI) run ./...

format:
	$(GOFUMPT) -w $(HAND_WRITTEN)

demo: build
	bin/jujubedemo --bin bin

measure: build
	bin/jujubemeasure --out docs/MEASUREMENTS.md

soak:
	JUJUBEGATE_SOAK=$(or $(DURATION),60s) JUJUBEGATE_SEED=$(or $(SEED),1) go test -count=1 -timeout 60m -run Soak ./...

generate:
	GOBIN=$(CURDIR)/bin/gen go install google.golang.org/protobuf/cmd/protoc-gen-go@v1.36.12
	GOBIN=$(CURDIR)/bin/gen go install connectrpc.com/connect/cmd/protoc-gen-connect-go@v1.21.1
	GOBIN=$(CURDIR)/bin/gen go install github.com/bufbuild/buf/cmd/buf@v1.75.0
	PATH="$(CURDIR)/bin/gen:$$PATH" bin/gen/buf generate
