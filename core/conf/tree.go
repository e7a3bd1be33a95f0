package conf

import (
	"fmt"
	"slices"

	"github.com/goccy/go-yaml/ast"
	"github.com/goccy/go-yaml/parser"
)

// Position is where a value stands in the settings folder.
type Position struct {
	File string
	Line int // from 1; 0 if the whole file is meant
}

// String returns "file:line".
func (p Position) String() string {
	if p.Line == 0 {
		return p.File
	}
	return fmt.Sprintf("%s:%d", p.File, p.Line)
}

// Problem is one fault of the settings. Its message names the remedy.
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

// tree is a value of the settings with its place: a mapping, if fields is not
// nil, or else a scalar or a list.
type tree struct {
	place  Position
	fields map[string]*tree
	value  any
}

// plain returns the value without its places.
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

// names returns the names of the fields in order.
func (t *tree) names() []string {
	list := make([]string, 0, len(t.fields))
	for name := range t.fields {
		list = append(list, name)
	}
	slices.Sort(list)
	return list
}

// merge overrides t by a later tree. Mappings are merged field by field; a
// scalar or list replaces what stood there; null removes it.
func (t *tree) merge(later *tree) {
	for name, field := range later.fields {
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

// reader turns the syntax tree of one file into a tree.
type reader struct {
	file     string
	problems []Problem
}

func (r *reader) fail(n ast.Node, message string) {
	r.problems = append(r.problems, Problem{Position: r.place(n), Message: message})
}

func (r *reader) place(n ast.Node) Position {
	if n == nil || n.GetToken() == nil {
		return Position{File: r.file}
	}
	return Position{File: r.file, Line: n.GetToken().Position.Line}
}

// parse reads one file. The tree is a mapping, empty if the file is empty.
func (r *reader) parse(data []byte) *tree {
	root := &tree{place: Position{File: r.file}, fields: map[string]*tree{}}
	file, err := parser.ParseBytes(data, 0)
	if err != nil {
		r.problems = append(r.problems, Problem{Position: Position{File: r.file}, Message: err.Error()})
		return root
	}
	for _, doc := range file.Docs {
		if doc.Body == nil {
			continue
		}
		t := r.read(doc.Body)
		if t.fields == nil {
			if t.value != nil {
				r.fail(doc.Body, "a settings file is a mapping of sections; start with customers:, models:, cascades:, routes: or limits:")
			}
			continue
		}
		root.merge(t)
	}
	return root
}

func (r *reader) read(n ast.Node) *tree {
	t := &tree{place: r.place(n)}
	switch n := n.(type) {
	case *ast.MappingNode:
		r.mapping(t, n.Values)
	case *ast.MappingValueNode:
		r.mapping(t, []*ast.MappingValueNode{n})
	case *ast.SequenceNode:
		list := make([]any, 0, len(n.Values))
		for _, value := range n.Values {
			list = append(list, r.read(value).plain())
		}
		t.value = list
	case *ast.LiteralNode:
		t.value = n.Value.Value
	case *ast.NullNode:
	case *ast.AnchorNode, *ast.AliasNode, *ast.TagNode, *ast.MergeKeyNode:
		r.fail(n, "anchors, aliases and tags are not supported; write the value out")
	case ast.ScalarNode:
		t.value = n.GetValue()
	default:
		r.fail(n, "this kind of YAML value is not supported; write a mapping, a list or a plain value")
	}
	return t
}

func (r *reader) mapping(t *tree, values []*ast.MappingValueNode) {
	t.fields = make(map[string]*tree, len(values))
	for _, pair := range values {
		key, ok := pair.Key.(ast.ScalarNode)
		if !ok {
			r.fail(pair, "merge keys are not supported; write the fields out")
			continue
		}
		name := fmt.Sprint(key.GetValue())
		if _, twice := t.fields[name]; twice {
			r.fail(pair.Key, fmt.Sprintf("%q is set twice in one mapping; keep one", name))
			continue
		}
		field := r.read(pair.Value)
		field.place = r.place(pair.Key)
		t.fields[name] = field
	}
}
