GOTOOL = go tool -modfile=tools/go.mod
PROTOS = internal/recorder/recorder.proto internal/messenger/messenger.proto

.PHONY: build test lint demo proto

build:
	go build -o bin/ ./cmd/...

proto:
	go build -modfile=tools/go.mod -o bin/protoc-gen-go google.golang.org/protobuf/cmd/protoc-gen-go
	protoc --plugin=bin/protoc-gen-go --go_out=. --go_opt=module=github.com/coltsfootscale/coltsfootscale $(PROTOS)
