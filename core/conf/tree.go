package conf

import (
	"fmt"
	"slices"

	"github.com/goccy/go-yaml/ast"
	"github.com/goccy/go-yaml/parser"
)

// Position is the position of a value in the settings folder.
type Position struct {
	File string
	Line int // from 1; 0 for the whole file
}

// String returns "file:line", or "file" if there is no line.
func (p Position) String() string {
	if p.Line == 0 {
		return p.File
	}
	return fmt.Sprintf("%s:%d", p.File, p.Line)
}

// Problem is one error in the settings. Its message names the remedy.
type Problem struct {
	Position Position
	Path     string // for example customers/a/weight
	Message  string
}

// Error implements error with "file:line: path: message".
func (p Problem) Error() string {
	if p.Path == "" {
		return fmt.Sprintf("%s: %s", p.Position, p.Message)
	}
	return fmt.Sprintf("%s: %s: %s", p.Position, p.Path, p.Message)
}

// tree is a value of the settings with its position: a mapping if fields is not
// nil, otherwise a scalar or a list.
type tree struct {
	position Position
	fields   map[string]*tree
	value    any
}

// plain returns the value without positions, as encoding/json takes it.
func (t *tree) plain() any {
	if t.fields == nil {
		return t.value
	}
	m := make(map[string]any, len(t.fields))
	for name, field := range t.fields {
		m[name] = field.plain()
	}
	return m
}

// names returns the names of the fields in sorted order.
func (t *tree) names() []string {
	list := make([]string, 0, len(t.fields))
	for name := range t.fields {
		list = append(list, name)
	}
	slices.Sort(list)
	return list
}

// merge overrides the fields of t by those of override. Mappings are merged field
// by field; a scalar or list replaces the old value; null removes it.
func (t *tree) merge(override *tree) {
	for name, field := range override.fields {
		old, ok := t.fields[name]
		switch {
		case field.fields == nil && field.value == nil:
			delete(t.fields, name)
		case ok && old.fields != nil && field.fields != nil:
			old.merge(field)
		default:
			t.fields[name] = field
		}
	}
}

// treeBuilder converts the syntax tree of one file into a tree.
type treeBuilder struct {
	file     string
	problems []Problem
}

func (r *treeBuilder) addProblem(n ast.Node, message string) {
	r.problems = append(r.problems, Problem{Position: r.positionOf(n), Message: message})
}

func (r *treeBuilder) positionOf(n ast.Node) Position {
	if n == nil || n.GetToken() == nil {
		return Position{File: r.file}
	}
	return Position{File: r.file, Line: n.GetToken().Position.Line}
}

// parse parses one file. The tree is a mapping, empty if the file is empty or
// cannot be parsed.
func (r *treeBuilder) parse(data []byte) *tree {
	root := &tree{position: Position{File: r.file}, fields: map[string]*tree{}}
	file, err := parser.ParseBytes(data, 0)
	if err != nil {
		r.problems = append(r.problems, Problem{Position: Position{File: r.file}, Message: err.Error()})
		return root
	}
	for _, doc := range file.Docs {
		if doc.Body == nil {
			continue
		}
		t := r.build(doc.Body)
		if t.fields == nil {
			if t.value != nil {
				r.addProblem(doc.Body, "a settings file is a mapping of sections; start with customers:, models:, cascades:, routes: or limits:")
			}
			continue
		}
		root.merge(t)
	}
	return root
}

func (r *treeBuilder) build(n ast.Node) *tree {
	t := &tree{position: r.positionOf(n)}
	switch n := n.(type) {
	case *ast.MappingNode:
		r.buildMapping(t, n.Values)
	case *ast.MappingValueNode:
		r.buildMapping(t, []*ast.MappingValueNode{n})
	case *ast.SequenceNode:
		list := make([]any, 0, len(n.Values))
		for _, value := range n.Values {
			list = append(list, r.build(value).plain())
		}
		t.value = list
	case *ast.LiteralNode:
		t.value = n.Value.Value
	case *ast.NullNode:
	case *ast.AnchorNode, *ast.AliasNode, *ast.TagNode, *ast.MergeKeyNode:
		r.addProblem(n, "anchors, aliases and tags are not supported; write the value out")
	case ast.ScalarNode:
		t.value = n.GetValue()
	default:
		r.addProblem(n, "this kind of YAML value is not supported; write a mapping, a list or a plain value")
	}
	return t
}

func (r *treeBuilder) buildMapping(t *tree, values []*ast.MappingValueNode) {
	t.fields = make(map[string]*tree, len(values))
	for _, pair := range values {
		key, ok := pair.Key.(ast.ScalarNode)
		if !ok {
			r.addProblem(pair, "merge keys are not supported; write the fields out")
			continue
		}
		name := fmt.Sprint(key.GetValue())
		if _, duplicate := t.fields[name]; duplicate {
			r.addProblem(pair.Key, fmt.Sprintf("%q is set twice in one mapping; keep one", name))
			continue
		}
		field := r.build(pair.Value)
		field.position = r.positionOf(pair.Key)
		t.fields[name] = field
	}
}
