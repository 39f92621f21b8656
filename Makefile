# Regenerates the committed protocol code; needs protoc and the two plugins.
.PHONY: generate
generate:
	protoc --go_out=. --go_opt=paths=source_relative --connect-go_out=. --connect-go_opt=paths=source_relative proto/peer/v1/peer.proto
