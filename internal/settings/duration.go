package settings

import (
	"encoding/json"
	"time"
)

// Duration is a time.Duration that is a JSON string with a unit, such as "1500ms".
type Duration time.Duration

const durationAllowed = `want a string with a unit, such as "1500ms", "2s" or "10m"`

// Std returns the value as a time.Duration.
func (d Duration) Std() time.Duration { return time.Duration(d) }

// MarshalJSON implements json.Marshaler.
func (d Duration) MarshalJSON() ([]byte, error) {
	return json.Marshal(time.Duration(d).String())
}

// UnmarshalJSON implements json.Unmarshaler. It returns an *Error if raw is not
// a string with a unit.
func (d *Duration) UnmarshalJSON(raw []byte) error {
	var text string
	if err := json.Unmarshal(raw, &text); err != nil {
		return &Error{Value: string(raw), Problem: durationAllowed}
	}
	parsed, err := time.ParseDuration(text)
	if err != nil {
		return &Error{Value: string(raw), Problem: durationAllowed}
	}
	*d = Duration(parsed)
	return nil
}

func checkDuration(path string, value any) *Error {
	text, ok := value.(string)
	if ok {
		if _, err := time.ParseDuration(text); err == nil {
			return nil
		}
	}
	return &Error{Path: path, Value: encodeValue(value), Problem: durationAllowed}
}
