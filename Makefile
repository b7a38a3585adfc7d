.PHONY: build test faults bench generate

build:
	go build -o bin/rattanwall ./cmd/rattanwall

test:
	go test ./...

# Failure runs with real processes, killed, paused and stopped by their ids.
faults:
	go test -tags faults -count=1 -timeout 40m -v ./internal/faults

bench:
	go test -run NONE -bench . ./internal/route

# Needs protoc, protoc-gen-go and protoc-gen-twirp; their output is committed.
generate:
	protoc --go_out=. --go_opt=module=github.com/rattanwall/rattanwall \
		--twirp_out=. --twirp_opt=module=github.com/rattanwall/rattanwall \
		internal/peer/peer.proto internal/scheduling/scheduling.proto
