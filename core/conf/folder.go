package conf

import (
	"bytes"
	"encoding/json"
	"errors"
	"os"
	"path/filepath"
	"slices"
	"strings"

	"github.com/rotisserie/eris"

	"citronledge.example/core/wire"
)

// File is one file of a settings folder.
type File struct {
	Name string
	Data []byte
}

// Folder is a settings folder with its files merged.
type Folder struct {
	root     *tree
	problems []Problem
}

const maxFileBytes = 1 << 20 // settings files are small

// ReadFolder reads all files of a folder whose names end in .yaml or .yml and
// do not start with a dot, and merges them in the order of their names.
func ReadFolder(dir string) (*Folder, error) {
	list, err := os.ReadDir(dir)
	if err != nil {
		return nil, eris.Wrap(err, "cannot read the settings folder; name an existing one")
	}
	var files []File
	for _, entry := range list {
		ext := filepath.Ext(entry.Name())
		if entry.IsDir() || strings.HasPrefix(entry.Name(), ".") || (ext != ".yaml" && ext != ".yml") {
			continue
		}
		path := filepath.Join(dir, entry.Name())
		info, err := os.Stat(path)
		if err != nil {
			return nil, eris.Wrap(err, "cannot read a settings file")
		}
		if info.Size() > maxFileBytes {
			return nil, eris.Errorf("%s is over %d bytes; split it into smaller files", entry.Name(), maxFileBytes)
		}
		data, err := os.ReadFile(path)
		if err != nil {
			return nil, eris.Wrap(err, "cannot read a settings file")
		}
		files = append(files, File{Name: entry.Name(), Data: data})
	}
	if len(files) == 0 {
		// Applying an empty folder would delete the whole configuration, which is
		// hardly ever intended.
		return nil, eris.Errorf("the folder %s has no .yaml file; check the path", dir)
	}
	return Merge(files), nil
}

// Merge merges files in the order of their names, so that a later file overrides
// an earlier one. Mappings are merged field by field, lists are replaced as a
// whole, and null removes a field. Syntax errors are reported by Check.
func Merge(files []File) *Folder {
	files = slices.Clone(files)
	slices.SortStableFunc(files, func(a, b File) int { return strings.Compare(a.Name, b.Name) })
	f := &Folder{root: &tree{fields: map[string]*tree{}}}
	for _, file := range files {
		r := treeBuilder{file: file.Name}
		f.root.merge(r.parse(file.Data))
		f.problems = append(f.problems, r.problems...)
	}
	return f
}

// Origin returns where the value at a path, for example "customers/a/weight", is
// set: the position in the last file that sets it.
func (f *Folder) Origin(path string) (Position, bool) {
	t := f.find(path)
	if t == nil {
		return Position{}, false
	}
	return t.position, true
}

func (f *Folder) find(path string) *tree {
	t := f.root
	for name := range strings.SplitSeq(path, "/") {
		next, ok := t.fields[name]
		if !ok {
			return nil
		}
		t = next
	}
	return t
}

// Leaf is one value with its path and position, for listings.
type Leaf struct {
	Path     string
	Value    any
	Position Position
}

// Leaves returns all values in the order of their paths.
func (f *Folder) Leaves() []Leaf {
	var list []Leaf
	collectLeaves(&list, "", f.root)
	return list
}

func collectLeaves(list *[]Leaf, path string, t *tree) {
	if t.fields == nil {
		*list = append(*list, Leaf{Path: path, Value: t.value, Position: t.position})
		return
	}
	for _, name := range t.names() {
		sub := name
		if path != "" {
			sub = path + "/" + name
		}
		collectLeaves(list, sub, t.fields[name])
	}
}

// Entries returns the configuration entries of the folder, by key. If Check finds
// problems, it returns them joined as an error.
func (f *Folder) Entries() ([]*wire.Entry, error) {
	if problems := f.Check(); len(problems) > 0 {
		errs := make([]error, len(problems))
		for i, p := range problems {
			errs[i] = p
		}
		return nil, errors.Join(errs...)
	}
	var list []*wire.Entry
	for _, section := range sections {
		t, ok := f.root.fields[strings.TrimSuffix(section.prefix, "/")]
		if !ok {
			continue
		}
		for key, item := range section.items(t) {
			value, err := encodeItem(section, item)
			if err != nil {
				return nil, err
			}
			list = append(list, &wire.Entry{Key: key, Value: value})
		}
	}
	slices.SortFunc(list, func(a, b *wire.Entry) int { return strings.Compare(a.Key, b.Key) })
	return list, nil
}

// encodeItem returns the JSON of an item with the fields in the order of its Go
// type, so that equal settings have equal bytes whatever file they come from.
func encodeItem(s section, item *tree) ([]byte, error) {
	data, err := json.Marshal(item.plain())
	if err != nil {
		return nil, err
	}
	target := s.newItem()
	if err := json.Unmarshal(data, target); err != nil {
		return nil, err
	}
	return json.Marshal(target)
}

// IsFolderKey reports whether a key belongs to the operators' settings folder.
func IsFolderKey(key string) bool {
	for _, s := range sections {
		if key == s.prefix || (strings.HasSuffix(s.prefix, "/") && strings.HasPrefix(key, s.prefix)) {
			return true
		}
	}
	return false
}

// Diff returns the changes that turn the folder's keys in a view into entries: new
// values, and deletions of keys that entries lack. Keys that belong to commands
// are not touched.
func Diff(v *View, entries []*wire.Entry) []*wire.Entry {
	var diff []*wire.Entry
	inFolder := map[string]bool{}
	for _, e := range entries {
		inFolder[e.Key] = true
		if old, ok := v.Value(e.Key); !ok || !bytes.Equal(old, e.Value) {
			diff = append(diff, e)
		}
	}
	for _, key := range v.Keys() {
		if IsFolderKey(key) && !inFolder[key] {
			diff = append(diff, &wire.Entry{Key: key, Gone: true})
		}
	}
	slices.SortFunc(diff, func(a, b *wire.Entry) int { return strings.Compare(a.Key, b.Key) })
	return diff
}
