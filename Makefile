.PHONY: build test faults soak days bench generate

build:
	go build -o bin/rattanwall ./cmd/rattanwall

test:
	go test ./...

# Failure runs with real processes, killed, paused and stopped by their ids.
faults:
	go test -tags faults -count=1 -timeout 40m -v ./internal/faults

# The fault soak of separate processes on the users' platform's stand-in, on fresh
# seeds: make soak FIRST=1000 SEEDS=50.
FIRST ?= 1000
SEEDS ?= 50
soak:
	go test ./platform/soak -count=1 -timeout 60m -v -soak.first $(FIRST) -soak.seeds $(SEEDS)

# The days of our own as written, one line each and what they break:
# make days PLAYER=program SITE=file.
days:
	@broken=0; for day in deploy/days/*.toml; do \
		name=$$(basename $$day .toml); \
		out=$$($(PLAYER) run $(SITE) $$day --why "days of our own: $$name" 2>&1) || broken=1; \
		printf '%s\n' "$$out" | grep -E "^$$name |BROKEN|^[a-z]+: "; \
		case $$out in *BROKEN*) broken=1 ;; esac; \
	done; exit $$broken

bench:
	go test -run NONE -bench . ./internal/route

# Needs protoc, protoc-gen-go and protoc-gen-twirp; their output is committed.
generate:
	@for file in internal/peer/peer.proto internal/scheduling/scheduling.proto; do \
		protoc --go_out=. --go_opt=module=github.com/rattanwall/rattanwall \
			--twirp_out=. --twirp_opt=module=github.com/rattanwall/rattanwall $$file || exit 1; \
	done
