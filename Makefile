GOTOOL = go tool -modfile=tools/go.mod
PROTOS = internal/recorder/recorder.proto internal/messenger/messenger.proto internal/gossiper/gossip.proto internal/elector/duty.proto internal/pinner/pin.proto internal/ratelimiter/quota.proto
GO_FILES = $(shell git ls-files '*.go' | grep -v '\.pb\.go$$')

.PHONY: build test lint demo soak fault-soak failures measure bench capacity fuzz race proto

build:
	go build -o bin/ ./cmd/...

test:
	bash scripts/judge.sh

lint:
	@unformatted=$$(gofmt -s -l $(GO_FILES)); test -z "$$unformatted" || { echo "not formatted: $$unformatted"; exit 1; }
	go vet ./...
	$(GOTOOL) staticcheck ./...
	$(GOTOOL) revive -config revive.toml -set_exit_status ./...

demo: build
	bash scripts/demo.sh

failures: build
	bash scripts/failures.sh

SEED ?= 1
RUNS ?= 20
soak:
	go test ./internal/runner -run TestSoak -timeout 0 -soak.seed $(SEED) -soak.runs $(RUNS)

# Runs real entry processes under faults injected from outside. 50 seeds take half an hour. EARLIER is the program of an earlier
# build that half of the processes run.
fault-soak:
	go test ./platform -run TestFaultSoak -v -timeout 0 -faultsoak.seed $(SEED) -faultsoak.runs $(RUNS) $(if $(EARLIER),-faultsoak.earlier $(EARLIER))

proto:
	go build -modfile=tools/go.mod -o bin/protoc-gen-go google.golang.org/protobuf/cmd/protoc-gen-go
	protoc --plugin=bin/protoc-gen-go --go_out=. --go_opt=module=github.com/coltsfootscale/coltsfootscale $(PROTOS)

measure: build
	bash scripts/measure.sh

bench:
	go test ./internal/evaluator -run 'TestScenarios$$' -v -scenario.policy all -scenario.seeds 10 -timeout 30m
	go test ./internal/committer -run TestGroupCommit -v
	go test ./internal/router ./internal/limiter -run xxx -bench .

capacity:
	go test ./internal/evaluator -run TestCapacity -v -capacity

FUZZTIME ?= 20s
fuzz:
	@for p in authorizer:FuzzApply configurator:FuzzApply journaler:FuzzApply accounter:FuzzApply chatter:FuzzEventReader chatter:FuzzParseRequest parser:FuzzParse; do \
		go test ./internal/$${p%%:*} -run xxx -fuzz "^$${p#*:}$$" -fuzztime $(FUZZTIME) || exit 1; done
	go test ./platform -run xxx -fuzz '^FuzzDecode$$' -fuzztime $(FUZZTIME)

race:
	go test -race ./internal/runner ./internal/relayer ./internal/leaseholder ./internal/orderer ./internal/committer ./internal/tailer \
		./internal/pinner ./internal/ratelimiter ./internal/prober ./internal/forwarder -timeout 10m
