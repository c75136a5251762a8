GO ?= go

.PHONY: all build fmt vet lint race test demo bench capacity

all: build

build:
	$(GO) build -o bin/ ./cmd/...

fmt:
	@out=$$(gofmt -l $$(git ls-files '*.go')); if [ -n "$$out" ]; then echo "gofmt would change:"; echo "$$out"; exit 1; fi

vet:
	$(GO) vet ./...

lint:
	$(GO) build -o bin/staticcheck honnef.co/go/tools/cmd/staticcheck
	bin/staticcheck ./...

race:
	$(GO) test -race -count=1 ./...

test: fmt vet lint build race
