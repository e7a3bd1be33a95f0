// Package tools has no code; its go.mod pins the versions of the formatter and
// the linter.
package tools
