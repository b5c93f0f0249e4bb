#!/bin/bash
# Everything that must pass: formatting, vet, the linter, the deploy build, the tests.
set -euo pipefail
cd "$(dirname "$0")"
unformatted=$(gofmt -l cmd internal)
if [ -n "$unformatted" ]; then
	echo "not formatted: $unformatted" >&2
	exit 1
fi
go vet ./...
go tool staticcheck ./...
bash -c "$(sed -n 's/^build = "\(.*\)"$/\1/p' deploy/service.toml)"
target/gappond version
go test -race -timeout 30m ./...
