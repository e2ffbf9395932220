// Package jsonshape counts the values of a JSON text without decoding it, so that the
// memory for the decoded values can be reserved before they are decoded.
package jsonshape

import "errors"

// MaxDepth is how deep objects and arrays may be nested.
const MaxDepth = 64

// ErrTooDeep reports objects and arrays that are nested deeper than MaxDepth.
var ErrTooDeep = errors.New("the JSON text is nested too deep")

// Shape is what a JSON text consists of.
type Shape struct {
	Bytes    int // of the text
	Elements int // values in arrays; each array counts one at least
	Members  int // fields of objects; each object counts one at least
}

// Of returns the shape of a text. It does not check the syntax: the counts of a text
// that is not JSON are those of the values that a decoder finds before it stops, or
// more.
func Of(text []byte) (Shape, error) {
	s := Shape{Bytes: len(text)}
	var isArray [MaxDepth + 1]bool // of the open objects and arrays, outermost first
	depth := 0
	for i := 0; i < len(text); i++ {
		switch text[i] {
		case '"':
			i = endOfString(text, i)
		case '{', '[':
			if depth == MaxDepth {
				return s, ErrTooDeep
			}
			depth++
			isArray[depth] = text[i] == '['
			s.add(isArray[depth])
		case '}', ']':
			depth = max(depth-1, 0)
		case ',':
			s.add(isArray[depth])
		}
	}
	return s, nil
}

func (s *Shape) add(toArray bool) {
	if toArray {
		s.Elements++
	} else {
		s.Members++
	}
}

// endOfString returns the index of the quote that ends the string which begins at
// start, or the length of the text.
func endOfString(text []byte, start int) int {
	for i := start + 1; i < len(text); i++ {
		switch text[i] {
		case '\\':
			i++
		case '"':
			return i
		}
	}
	return len(text)
}

// Cost is the memory in bytes that decoded values take.
type Cost struct {
	Byte    int64 // for each byte of the text: its copies
	Element int64 // for each value in an array
	Member  int64 // for each field of an object
}

// Of returns the memory for a text of the shape.
func (c Cost) Of(s Shape) int64 {
	return c.Byte*int64(s.Bytes) + c.Element*int64(s.Elements) + c.Member*int64(s.Members)
}
