# All targets run on a fresh machine with Go, gcc and make; modules are fetched by the go command.
SHELL := /bin/bash
GO ?= go
MODULES := core platform gate side state ctl stub demo soak tools
PACKAGES := $(addsuffix /...,$(addprefix ./,$(MODULES)))
SOURCES = $(shell git ls-files -co --exclude-standard '*.go' | grep -v '\.pb\.go$$')

.PHONY: all build demo test check format lint vet race bench measure slopes fuzz soak clean

all: build

build: ## build all programs into bin/
	@mkdir -p bin
	$(GO) build -o bin/ ./gate/cmd/gate ./side/cmd/side ./state/cmd/state ./ctl/cmd/ctl ./stub/cmd/stub ./demo/cmd/demo ./demo/cmd/load

demo: build ## start the whole system on loopback, send requests, print answers, bills and audit trail
	./bin/demo --bin bin

test: ## run every test
	./tools/test.sh $(GO) test -timeout 8m $(PACKAGES)

race: ## run every test under the race detector
	./tools/test.sh $(GO) test -race -timeout 12m $(PACKAGES)

format: ## rewrite the sources with gofumpt
	$(GO) tool gofumpt -w $(SOURCES)

lint: ## fail on unformatted files and on findings of revive
	@unformatted=$$($(GO) tool gofumpt -l $(SOURCES)); if [ -n "$$unformatted" ]; then echo "run make format for:"; echo "$$unformatted"; exit 1; fi
	@$(GO) tool revive -set_exit_status -config tools/revive.toml $(PACKAGES)

vet:
	$(GO) vet $(PACKAGES)

check: lint vet build race test ## everything that CI runs

bench: build ## performance figures, some minutes; not part of the tests
	./bin/load
	$(GO) test ./gate/front -run '^$$' -bench 'Call|Chat|Refusal' -benchmem
	$(GO) test ./core/policy -run '^$$' -bench 'Choose|Judge' -benchmem
	$(GO) test ./core/ledger -run '^$$' -bench 'Apply|Snapshot|Freeze' -benchtime 20000x
	$(GO) test ./state/node -run '^$$' -bench Force -benchtime 300x
	$(GO) test ./state/peer -run '^$$' -bench Commit -benchtime 3s
	$(GO) test ./state/peer -run '^$$' -bench 'Failover|Recovery' -benchtime 10x

measure: ## one line for each measure of the decisions; minutes
	$(GO) test ./core/policy -run '^TestMeasure' -count=1 -v -measure | grep '^measure='

FUZZTIME ?= 20s

fuzz: ## run each fuzz target for FUZZTIME; CI runs only their seeds, as tests
	$(GO) test ./core/conf -run xxx -fuzz '^FuzzMerge$$' -fuzztime $(FUZZTIME) -fuzzminimizetime 1x
	$(GO) test ./core/link -run xxx -fuzz '^FuzzRead$$' -fuzztime $(FUZZTIME) -fuzzminimizetime 1x
	$(GO) test ./core/ledger -run xxx -fuzz '^FuzzApply$$' -fuzztime $(FUZZTIME) -fuzzminimizetime 1x
	$(GO) test ./gate/share -run xxx -fuzz '^FuzzDatagram$$' -fuzztime $(FUZZTIME) -fuzzminimizetime 1x
	$(GO) test ./platform -run xxx -fuzz '^FuzzDecodeRequest$$' -fuzztime $(FUZZTIME) -fuzzminimizetime 1x
	$(GO) test ./platform -run xxx -fuzz '^FuzzDecodeAnswerHead$$' -fuzztime $(FUZZTIME) -fuzzminimizetime 1x
	$(GO) test ./platform -run xxx -fuzz '^FuzzList$$' -fuzztime $(FUZZTIME) -fuzzminimizetime 1x
	$(GO) test ./platform -run xxx -fuzz '^FuzzParseConfig$$' -fuzztime $(FUZZTIME) -fuzzminimizetime 1x
	$(GO) test ./side/engine -run xxx -fuzz '^FuzzReadEvent$$' -fuzztime $(FUZZTIME) -fuzzminimizetime 1x
	$(GO) test ./state/store -run xxx -fuzz '^FuzzRecoverLog$$' -fuzztime $(FUZZTIME) -fuzzminimizetime 1x
	$(GO) test ./state/store -run xxx -fuzz '^FuzzRecord$$' -fuzztime $(FUZZTIME) -fuzzminimizetime 1x

SEEDS ?= 50

soak: build ## play SEEDS seeds of the fault soak, 3 at a time; about 10 minutes
	$(GO) build -o bin/ ./soak/cmd/soak
	./bin/soak --seeds $(SEEDS) --jobs 3

slopes: build ## how the cost of each process grows with its neighbours, for docs/CAPACITY.md; about 6 minutes on an idle machine
	$(GO) build -o bin/ ./demo/cmd/slope
	./bin/slope --window 3s
	$(GO) test ./core/conf -run '^$$' -count=3 -benchtime 300ms -bench '^BenchmarkApply$$'
	$(GO) test ./core/ledger -run '^$$' -count=3 -benchtime 300ms -bench '^BenchmarkPins$$'
	$(GO) test ./gate/pool -run '^$$' -count=3 -benchtime 300ms -bench '^BenchmarkSubset$$'
	$(GO) test ./state/node -run '^$$' -count=3 -benchtime 300ms -bench '^BenchmarkPoll$$'

clean:
	rm -rf bin
