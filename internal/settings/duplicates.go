package settings

import (
	"bytes"
	"encoding/json"
	"fmt"
)

// checkDuplicates returns an error for a key that appears twice in one object:
// encoding/json would silently use the last value.
func checkDuplicates(file string, raw []byte) error {
	d := json.NewDecoder(bytes.NewReader(raw))
	d.UseNumber()
	if path, found := findDuplicate(d, ""); found {
		return &Error{File: file, Path: path, Problem: "the field must be given once"}
	}
	return nil
}

// findDuplicate reads one value and returns the path of the first duplicate key
// in it. Invalid JSON ends the search; decoding reports it.
func findDuplicate(d *json.Decoder, path string) (string, bool) {
	token, err := d.Token()
	if err != nil {
		return "", false
	}
	switch token {
	case json.Delim('{'):
		return findDuplicateInObject(d, path)
	case json.Delim('['):
		for i := 0; d.More(); i++ {
			if found, ok := findDuplicate(d, fmt.Sprintf("%s[%d]", path, i)); ok {
				return found, true
			}
		}
		_, _ = d.Token() // closing bracket of the list
	}
	return "", false
}

func findDuplicateInObject(d *json.Decoder, path string) (string, bool) {
	seen := map[string]bool{}
	for d.More() {
		token, err := d.Token()
		name, ok := token.(string)
		if err != nil || !ok {
			return "", false
		}
		if seen[name] {
			return joinPath(path, name), true
		}
		seen[name] = true
		if found, ok := findDuplicate(d, joinPath(path, name)); ok {
			return found, true
		}
	}
	_, _ = d.Token() // closing brace of the object
	return "", false
}
