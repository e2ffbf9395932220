package jsonshape

import (
	"encoding/json"
	"strings"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// Guards against values that are decoded without being counted.
func TestOf(t *testing.T) {
	for _, tc := range []struct {
		text              string
		elements, members int
	}{
		{``, 0, 0},
		{`7`, 0, 0},
		{`{}`, 0, 1},
		{`[]`, 1, 0},
		{`[1,{},"a,b",null]`, 4, 1},
		{`{"a":[{},{}],"b":{"c":1,"d":2}}`, 2, 6},
		{`{"a\"":"[,{\\","b":[1]}`, 1, 2},
		{`["a","b`, 2, 0},
		{`]],[1`, 1, 1},
	} {
		s, err := Of([]byte(tc.text))
		require.NoError(t, err, tc.text)
		assert.Equal(t, Shape{Bytes: len(tc.text), Elements: tc.elements, Members: tc.members}, s, tc.text)
	}
}

// Guards against deep nesting, and against a limit that rejects what is less deep.
func TestDepth(t *testing.T) {
	_, err := Of([]byte(strings.Repeat("[", MaxDepth) + strings.Repeat("]", MaxDepth)))
	require.NoError(t, err)
	_, err = Of([]byte(strings.Repeat("[", MaxDepth+1)))
	require.ErrorIs(t, err, ErrTooDeep)
	_, err = Of([]byte(strings.Repeat(`{"a":`, MaxDepth+1)))
	require.ErrorIs(t, err, ErrTooDeep)
}

// Guards against a text of which the decoder makes more values than were counted.
func FuzzOf(f *testing.F) {
	f.Add([]byte(`{"a":[{},{"b":"\\\""}],"c":[1,[2,3]]}`))
	f.Fuzz(func(t *testing.T, text []byte) {
		s, err := Of(text)
		var decoded any
		if err != nil || json.Unmarshal(text, &decoded) != nil {
			return
		}
		elements, members := count(decoded)
		assert.GreaterOrEqual(t, s.Elements, elements)
		assert.GreaterOrEqual(t, s.Members, members)
	})
}

func count(v any) (elements, members int) {
	var children []any
	switch v := v.(type) {
	case []any:
		elements, children = len(v), v
	case map[string]any:
		members = len(v)
		for _, child := range v {
			children = append(children, child)
		}
	}
	for _, child := range children {
		e, m := count(child)
		elements, members = elements+e, members+m
	}
	return elements, members
}
