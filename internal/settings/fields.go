package settings

import (
	"encoding/json"
	"errors"
	"io/fs"
	"reflect"
	"sort"
	"strings"
)

const maxValueBytes = 80 // a longer value is cut in an error

// fieldsByName returns the types of the fields of a struct by their JSON names.
func fieldsByName(t reflect.Type) map[string]reflect.Type {
	fields := make(map[string]reflect.Type, t.NumField())
	for i := range t.NumField() {
		f := t.Field(i)
		name, _, _ := strings.Cut(f.Tag.Get("json"), ",")
		if name == "-" || !f.IsExported() {
			continue
		}
		if name == "" {
			name = f.Name
		}
		fields[name] = f.Type
	}
	return fields
}

func sortedKeys[V any](m map[string]V) []string {
	keys := make([]string, 0, len(m))
	for k := range m {
		keys = append(keys, k)
	}
	sort.Strings(keys)
	return keys
}

func joinPath(path, name string) string {
	if path == "" {
		return name
	}
	return path + "." + name
}

func encodeValue(value any) string {
	encoded, err := json.Marshal(value)
	if err != nil {
		return ""
	}
	if len(encoded) > maxValueBytes {
		return string(encoded[:maxValueBytes]) + "..."
	}
	return string(encoded)
}

// withoutPath returns the text of err without the path of a *fs.PathError, since
// an Error names the file itself.
func withoutPath(err error) string {
	var pathErr *fs.PathError
	if errors.As(err, &pathErr) {
		return pathErr.Err.Error()
	}
	return err.Error()
}
