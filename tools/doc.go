// Package tools pins the formatter and the linter of the build in its go.mod.
package tools
