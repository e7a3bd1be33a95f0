package conf

import (
	"bytes"
	"cmp"
	"encoding/hex"
	"encoding/json"
	"errors"
	"fmt"
	"iter"
	"maps"
	"reflect"
	"regexp"
	"slices"
	"strings"

	"citronledge.example/core/ident"
)

// section is a top-level section of the settings folder.
type section struct {
	prefix  string // of its keys, or the whole key if it does not end in "/"
	newItem func() any
}

var sections = []section{
	{CustomersPrefix, func() any { return new(Customer) }},
	{ModelsPrefix, func() any { return new(Model) }},
	{CascadesPrefix, func() any { return new(Cascade) }},
	{RoutesPrefix, func() any { return new(Route) }},
	{LimitsKey, func() any { return new(Limits) }},
}

// items yields the configuration key and the tree of each item, by name.
func (s section) items(t *tree) iter.Seq2[string, *tree] {
	return func(yield func(string, *tree) bool) {
		if !strings.HasSuffix(s.prefix, "/") {
			yield(s.prefix, t)
			return
		}
		for _, name := range t.names() {
			if !yield(s.prefix+name, t.fields[name]) {
				return
			}
		}
	}
}

// AutoModel is the model name with which a caller selects the customer's cascade.
const AutoModel ident.Model = "auto"

// reservedPaths are the paths that the gate itself serves.
var reservedPaths = []string{"/v1/chat/completions", "/v1/models"}

var namePattern = regexp.MustCompile(`^[a-z0-9][a-z0-9._-]{0,62}$`)

// checker collects the problems of a folder. It decodes the items into view.
type checker struct {
	folder   *Folder
	problems []Problem
	view     *View
}

// Check returns all problems of the folder, ordered by position, path and message.
func (f *Folder) Check() []Problem {
	c := &checker{folder: f, problems: slices.Clone(f.problems), view: EmptyView()}
	c.checkStructure()
	if len(c.problems) == 0 {
		// The meaning is checked only if the structure is valid, since a field
		// that cannot be decoded would cause misleading follow-up problems.
		c.checkMeaning()
	}
	slices.SortStableFunc(c.problems, func(a, b Problem) int {
		return cmp.Or(
			strings.Compare(a.Position.File, b.Position.File),
			a.Position.Line-b.Position.Line,
			strings.Compare(a.Path, b.Path),
			strings.Compare(a.Message, b.Message),
		)
	})
	return c.problems
}

// addProblem records a problem at the position of the deepest part of path that
// exists.
func (c *checker) addProblem(path, message string) {
	position := Position{File: "settings"}
	for p := path; p != ""; {
		if found, ok := c.folder.Origin(p); ok {
			position = found
			break
		}
		i := strings.LastIndexByte(p, '/')
		if i < 0 {
			break
		}
		p = p[:i]
	}
	c.problems = append(c.problems, Problem{Position: position, Path: path, Message: message})
}

func (c *checker) checkStructure() {
	known := map[string]section{}
	var names []string
	for _, s := range sections {
		name := strings.TrimSuffix(s.prefix, "/")
		known[name] = s
		names = append(names, name)
	}
	for _, name := range c.folder.root.names() {
		s, ok := known[name]
		t := c.folder.root.fields[name]
		switch {
		case !ok:
			c.addProblem(name, "unknown section; use one of "+strings.Join(names, ", "))
		case t.fields == nil:
			c.addProblem(name, "must be a mapping")
		default:
			for key, item := range s.items(t) {
				c.checkItem(s, key, item)
			}
		}
	}
}

// checkItem checks the name and the fields of one item and adds it to the view.
func (c *checker) checkItem(s section, key string, item *tree) {
	if _, name, found := strings.Cut(key, "/"); found && !namePattern.MatchString(name) {
		c.addProblem(key, "names are 1 to 63 of a-z, 0-9, dot, underscore and hyphen, and start with a letter or digit")
		return
	}
	if item.fields == nil {
		c.addProblem(key, "must be a mapping")
		return
	}
	fields := jsonFieldNames(s.newItem())
	hasUnknown := false
	for _, name := range item.names() {
		if !slices.Contains(fields, name) {
			c.addProblem(key+"/"+name, "unknown field; use one of "+strings.Join(fields, ", "))
			hasUnknown = true
		}
	}
	if hasUnknown {
		return
	}
	data, err := json.Marshal(item.plain())
	if err == nil {
		err = json.NewDecoder(bytes.NewReader(data)).Decode(s.newItem())
	}
	if err != nil {
		c.addTypeProblem(key, err)
		return
	}
	if err := c.view.decodeKey(key, data); err != nil {
		c.addProblem(key, err.Error())
	}
}

func (c *checker) addTypeProblem(key string, err error) {
	var typeErr *json.UnmarshalTypeError
	if errors.As(err, &typeErr) {
		path := key
		if typeErr.Field != "" {
			path += "/" + strings.ReplaceAll(typeErr.Field, ".", "/")
		}
		c.addProblem(path, fmt.Sprintf("is a %s; write a %s", typeErr.Value, typeName(typeErr.Type)))
		return
	}
	c.addProblem(key, err.Error())
}

func typeName(t reflect.Type) string {
	switch t.Kind() {
	case reflect.Int, reflect.Int64:
		return "whole number"
	case reflect.Float64:
		return "number"
	case reflect.Bool:
		return "true or false"
	case reflect.Slice:
		return "list"
	}
	return t.Kind().String()
}

func jsonFieldNames(v any) []string {
	t := reflect.TypeOf(v).Elem()
	list := make([]string, 0, t.NumField())
	for i := range t.NumField() {
		name, _, _ := strings.Cut(t.Field(i).Tag.Get("json"), ",")
		list = append(list, name)
	}
	return list
}

func (c *checker) checkMeaning() {
	for name, m := range c.view.Models {
		c.checkModel(ModelsPrefix+string(name), name, m)
	}
	for name, x := range c.view.Cascades {
		c.checkCascade(CascadesPrefix+string(name), x)
	}
	for name, r := range c.view.Routes {
		c.checkRoute(RoutesPrefix+string(name), r)
	}
	owners := map[string]ident.Customer{}
	for _, name := range slices.Sorted(maps.Keys(c.view.Customers)) {
		c.checkCustomer(name, c.view.Customers[name], owners)
	}
	c.checkLimits(c.view.Limits)
}

func (c *checker) checkCustomer(name ident.Customer, x Customer, owners map[string]ident.Customer) {
	path := CustomersPrefix + string(name)
	if x.Weight < 0 || x.RequestsPerSecond < 0 || x.Burst < 0 {
		c.addProblem(path, "weight, rate and burst must not be negative")
	}
	if len(x.KeyDigests) == 0 {
		c.addProblem(path+"/keys", "has no key; add the digest that ctl key prints")
	}
	for _, key := range x.KeyDigests {
		if raw, err := hex.DecodeString(key); err != nil || len(raw) != 32 {
			c.addProblem(path+"/keys", "a key is the hex SHA-256 digest of the bearer key; make one with ctl key")
			continue
		}
		key = strings.ToLower(key)
		if other, taken := owners[key]; taken && other != name {
			c.addProblem(path+"/keys", fmt.Sprintf("the same key belongs to customer %s; make a new one with ctl key", other))
		}
		owners[key] = name
	}
	for _, m := range x.Models {
		c.checkTarget(path+"/models", m)
	}
	for _, r := range x.Routes {
		if _, ok := c.view.Routes[ident.Route(r)]; !ok {
			c.addProblem(path+"/routes", fmt.Sprintf("route %q does not exist; add it under routes or remove it here", r))
		}
	}
	if x.Cascade == "" {
		return
	}
	cascade, ok := c.view.Cascades[x.Cascade]
	if !ok {
		c.addProblem(path+"/cascade", fmt.Sprintf("cascade %q does not exist; add it under cascades", x.Cascade))
	}
	for _, step := range cascade.Steps {
		if !slices.ContainsFunc(x.Models, func(m string) bool { return m == string(step) || strings.HasPrefix(m, string(step)+"/") }) {
			c.addProblem(path+"/models", fmt.Sprintf("cascade %s uses model %s, which is not allowed here; add it", x.Cascade, step))
		}
	}
}

func (c *checker) checkTarget(path, name string) {
	t, err := ident.ParseTarget(name)
	if err != nil {
		c.addProblem(path, err.Error())
		return
	}
	m, ok := c.view.Models[t.Model]
	if !ok {
		c.addProblem(path, fmt.Sprintf("model %q does not exist; add it under models or remove it here", t.Model))
		return
	}
	if t.Version != "" && !slices.Contains(m.Versions, t.Version) {
		c.addProblem(path, fmt.Sprintf("model %s has no version %q; add it to its versions or remove it here", t.Model, t.Version))
	}
}

func (c *checker) checkModel(path string, name ident.Model, m Model) {
	if name == AutoModel {
		c.addProblem(path, `"auto" asks for the customer's cascade; choose another name`)
	}
	if m.InputPrice < 0 || m.OutputPrice < 0 {
		c.addProblem(path, "input and output prices must not be negative")
	}
	c.checkFraction(path+"/quality", float64(m.PriorQuality))
	if len(m.Versions) == 0 {
		c.addProblem(path+"/versions", "is empty; list at least one version")
	}
	seen := map[ident.Version]bool{}
	for _, v := range m.Versions {
		if !namePattern.MatchString(string(v)) || seen[v] {
			c.addProblem(path+"/versions", fmt.Sprintf("version %q is malformed or listed twice", v))
		}
		seen[v] = true
	}
}

func (c *checker) checkCascade(path string, x Cascade) {
	if len(x.Steps) == 0 {
		c.addProblem(path+"/steps", "is empty; list models from cheap to strong")
	}
	seen := map[ident.Model]bool{}
	for _, m := range x.Steps {
		if _, ok := c.view.Models[m]; !ok {
			c.addProblem(path+"/steps", fmt.Sprintf("model %q does not exist; add it under models", m))
		}
		if seen[m] {
			c.addProblem(path+"/steps", fmt.Sprintf("model %q is listed twice; keep one", m))
		}
		seen[m] = true
	}
	c.checkFraction(path+"/target", float64(x.TargetQuality))
}

func (c *checker) checkRoute(path string, r Route) {
	if !strings.HasPrefix(r.PathPrefix, "/") || len(r.PathPrefix) < 2 {
		c.addProblem(path+"/path", "must start with / and not be the root, for example /v1/payouts")
	}
	for _, p := range reservedPaths {
		if isUnder(p, r.PathPrefix) || isUnder(r.PathPrefix, p) {
			c.addProblem(path+"/path", p+" is served by the gate; choose another path")
		}
	}
	if len(r.Methods) == 0 {
		c.addProblem(path+"/methods", "is empty; list the allowed methods, for example [POST]")
	}
	for _, m := range r.Methods {
		if m != strings.ToUpper(m) || m == "" {
			c.addProblem(path+"/methods", fmt.Sprintf("method %q must be in capitals", m))
		}
	}
	if r.Service == "" {
		c.addProblem(path+"/service", "is empty; name the service of the side processes")
	}
	if r.TimeoutMillis < 0 {
		c.addProblem(path+"/timeout", "must not be negative; it is in milliseconds")
	}
	if r.Repeatable && (len(r.BusinessKeyFields) > 0 || r.LookupPath != "") {
		c.addProblem(path+"/repeatable", "business and lookup are only for calls that may not be repeated; remove them or set repeatable: false")
	}
	if r.LookupPath != "" && !strings.HasPrefix(r.LookupPath, "/") {
		c.addProblem(path+"/lookup", "must start with /")
	}
}

func (c *checker) checkLimits(l Limits) {
	if l.MaxBodyBytes < 0 || l.MaxQueued < 0 || l.ReportMinTokens < 0 || l.ChatTimeoutMillis < 0 || l.ReportTimeoutMillis < 0 || l.CallTimeoutMillis < 0 {
		c.addProblem(LimitsKey, "limits must not be negative")
	}
	c.checkFraction(LimitsKey+"/long", l.LongWorkShare)
	c.checkFraction(LimitsKey+"/extra", l.ExtraWorkShare)
}

func (c *checker) checkFraction(path string, v float64) {
	if v < 0 || v > 1 {
		c.addProblem(path, "must be between 0 and 1")
	}
}
