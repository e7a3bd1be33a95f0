// Package wire holds the protobuf messages between the processes of
// citronledge. The messages are documented in wire.proto.
package wire

//go:generate protoc --go_out=.. --go_opt=paths=source_relative -I .. wire/wire.proto wire/ledger.proto
