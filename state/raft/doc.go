package raft

//go:generate protoc --go_out=.. --go_opt=paths=source_relative -I .. raft/raft.proto
