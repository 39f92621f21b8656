# Regenerates the committed protocol code. Needs protoc, protoc-gen-go and
# protoc-gen-connect-go.
.PHONY: generate
generate:
	protoc --go_out=. --go_opt=paths=source_relative --connect-go_out=. --connect-go_opt=paths=source_relative proto/peer/v1/peer.proto
