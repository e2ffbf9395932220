// Package settings loads and validates the JSON settings of a process. Unknown
// and duplicate fields are errors. An error names the file, the path of the
// field, the value found and what is wrong or wanted, on one line.
package settings

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"os"
	"reflect"
	"strings"
)

// Error describes an unreadable or invalid settings file.
type Error struct {
	File    string
	Path    string // path of the field, such as "claims.groups[0].members"; empty for the whole file
	Value   string // value found, as JSON; empty if there is none
	Problem string // what is wrong, or which value is wanted
}

// Error implements error. The text has one line.
func (e *Error) Error() string {
	var b strings.Builder
	b.WriteString(e.File)
	if e.Path != "" {
		b.WriteString(": " + e.Path)
	}
	if e.Value != "" {
		b.WriteString(": found " + e.Value)
	}
	b.WriteString(": " + e.Problem)
	return b.String()
}

// Checker is implemented by settings types that validate their own fields. Check
// calls report for each invalid field with its path relative to the type.
type Checker interface {
	Check(report Report)
}

// Report records an invalid field.
type Report func(path string, value any, problem string)

// Load decodes the JSON file into target, which holds the defaults, and
// validates it. It returns the first problem found as an *Error.
func Load(file string, target Checker) error {
	raw, err := os.ReadFile(file)
	if err != nil {
		return &Error{File: file, Problem: "cannot be read: " + withoutPath(err)}
	}
	return Parse(file, raw, target)
}

// Parse is like Load for the content of a file.
func Parse(file string, raw []byte, target Checker) error {
	if err := checkStructure(file, raw, target); err != nil {
		return err
	}
	if err := checkDuplicates(file, raw); err != nil {
		return err
	}
	if err := decode(file, raw, target); err != nil {
		return err
	}
	var first *Error
	target.Check(func(path string, value any, problem string) {
		if first == nil {
			first = &Error{File: file, Path: path, Value: encodeValue(value), Problem: problem}
		}
	})
	if first != nil {
		return first
	}
	return nil
}

func decode(file string, raw []byte, target any) error {
	d := json.NewDecoder(bytes.NewReader(raw))
	if err := d.Decode(target); err != nil {
		return decodeError(file, err)
	}
	if _, err := d.Token(); !errors.Is(err, io.EOF) {
		return &Error{File: file, Problem: "exactly one JSON object is allowed"}
	}
	return nil
}

func decodeError(file string, err error) error {
	var typeErr *json.UnmarshalTypeError
	if errors.As(err, &typeErr) {
		return &Error{File: file, Path: typeErr.Field, Value: typeErr.Value, Problem: "want " + typeErr.Type.String()}
	}
	var syntaxErr *json.SyntaxError
	if errors.As(err, &syntaxErr) {
		return &Error{File: file, Problem: fmt.Sprintf("not valid JSON at byte %d: %s", syntaxErr.Offset, syntaxErr.Error())}
	}
	return &Error{File: file, Problem: err.Error()}
}

// checkStructure compares the JSON value with the Go type before decoding, so
// that an unknown field or an invalid duration is reported with its path.
func checkStructure(file string, raw []byte, target any) error {
	var value any
	d := json.NewDecoder(bytes.NewReader(raw))
	d.UseNumber()
	if err := d.Decode(&value); err != nil {
		return decodeError(file, err)
	}
	if e := checkValue("", value, reflect.TypeOf(target)); e != nil {
		e.File = file
		return e
	}
	return nil
}

var durationType = reflect.TypeOf(Duration(0))

func checkValue(path string, value any, t reflect.Type) *Error {
	for t.Kind() == reflect.Pointer {
		t = t.Elem()
	}
	if t == durationType {
		return checkDuration(path, value)
	}
	switch t.Kind() {
	case reflect.Struct:
		return checkObject(path, value, t)
	case reflect.Slice:
		return checkList(path, value, t)
	default:
		return nil
	}
}

func checkObject(path string, value any, t reflect.Type) *Error {
	object, ok := value.(map[string]any)
	if !ok {
		return &Error{Path: path, Value: encodeValue(value), Problem: "want an object"}
	}
	fields := fieldsByName(t)
	for _, name := range sortedKeys(object) {
		field, known := fields[name]
		if !known {
			return &Error{Path: joinPath(path, name), Value: encodeValue(object[name]), Problem: "unknown field; known: " + strings.Join(sortedKeys(fields), ", ")}
		}
		if e := checkValue(joinPath(path, name), object[name], field); e != nil {
			return e
		}
	}
	return nil
}

func checkList(path string, value any, t reflect.Type) *Error {
	list, ok := value.([]any)
	if !ok {
		return &Error{Path: path, Value: encodeValue(value), Problem: "want a list"}
	}
	for i, item := range list {
		if e := checkValue(fmt.Sprintf("%s[%d]", path, i), item, t.Elem()); e != nil {
			return e
		}
	}
	return nil
}
