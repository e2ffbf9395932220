package settings

import (
	"bytes"
	"encoding/json"
	"fmt"
)

// checkDuplicates reports a key that an object has twice: the decoder would take
// the last one without a word.
func checkDuplicates(file string, raw []byte) error {
	d := json.NewDecoder(bytes.NewReader(raw))
	d.UseNumber()
	if path, found := duplicateIn(d, ""); found {
		return &Error{File: file, Path: path, Allowed: "the field must be given once"}
	}
	return nil
}

// duplicateIn reads one value. Text that is no JSON ends the search; decoding
// reports it.
func duplicateIn(d *json.Decoder, path string) (string, bool) {
	token, err := d.Token()
	if err != nil {
		return "", false
	}
	switch token {
	case json.Delim('{'):
		return duplicateInObject(d, path)
	case json.Delim('['):
		for i := 0; d.More(); i++ {
			if found, ok := duplicateIn(d, fmt.Sprintf("%s[%d]", path, i)); ok {
				return found, true
			}
		}
		_, _ = d.Token() // the end of the list
	}
	return "", false
}

func duplicateInObject(d *json.Decoder, path string) (string, bool) {
	seen := map[string]bool{}
	for d.More() {
		token, err := d.Token()
		name, ok := token.(string)
		if err != nil || !ok {
			return "", false
		}
		if seen[name] {
			return join(path, name), true
		}
		seen[name] = true
		if found, ok := duplicateIn(d, join(path, name)); ok {
			return found, true
		}
	}
	_, _ = d.Token() // the end of the object
	return "", false
}
