# Targets: demo (main job), test (everything CI runs), build, fmt, lint, gen, bench.

MODULES := . cmd/vaned cmd/vanectl cmd/vanebench cmd/vanefake
BIN     := $(CURDIR)/bin
SOURCES := $(shell git ls-files '*.go' 2>/dev/null | grep -vE '\.pb\.go$$|_string\.go$$')

.PHONY: demo test build unit race fmt vet lint gen bench tidy clean

demo: build
	$(BIN)/vanebench demo

build:
	@mkdir -p $(BIN)
	go build -o $(BIN)/ ./cmd/vaned ./cmd/vanectl ./cmd/vanebench ./cmd/vanefake

test: build fmt vet lint unit

unit:
	go test $(addsuffix /...,$(addprefix ./,$(MODULES)))

race:
	go test -race $(addsuffix /...,$(addprefix ./,$(MODULES)))

fmt:
	@out=$$(gofmt -l $(SOURCES)); test -z "$$out" || { echo "not formatted (run gofmt -w):"; echo "$$out"; exit 1; }

vet:
	go vet $(addsuffix /...,$(addprefix ./,$(MODULES)))

$(BIN)/staticcheck $(BIN)/revive: tools/lint/go.mod
	@mkdir -p $(BIN)
	cd tools/lint && GOWORK=off go build -o $(BIN)/ honnef.co/go/tools/cmd/staticcheck github.com/mgechev/revive

lint: $(BIN)/staticcheck $(BIN)/revive
	$(BIN)/staticcheck $(addsuffix /...,$(addprefix ./,$(MODULES)))
	$(BIN)/revive -config revive.toml -set_exit_status $(addsuffix /...,$(addprefix ./,$(MODULES)))

gen:
	@mkdir -p $(BIN)
	cd tools/gen && GOWORK=off go build -o $(BIN)/ golang.org/x/tools/cmd/stringer google.golang.org/protobuf/cmd/protoc-gen-go google.golang.org/grpc/cmd/protoc-gen-go-grpc
	cd tools/buf && GOWORK=off go build -o $(BIN)/ github.com/bufbuild/buf/cmd/buf
	PATH=$(BIN):$$PATH go generate ./...

bench:
	go test -run '^$$' -bench . -benchmem $(addsuffix /...,$(addprefix ./,$(MODULES)))

tidy:
	for m in $(MODULES); do (cd $$m && GOWORK=off go mod tidy) || exit 1; done

clean:
	rm -rf $(BIN) out
