package httphead

import (
	"errors"
	"net/http"
)

// Reasons why the bytes behind a head are rejected.
var (
	ErrChunk       = errors.New("malformed response: chunk")
	ErrUnsolicited = errors.New("bytes behind the end of a response")
	ErrUnfinished  = errors.New("a request was sent before the end of the previous response")
)

// phase is the position of a Stream in a response.
type phase uint8

const (
	atEnd phase = iota // no response is expected
	inHead
	inBody  // of known length
	inChunk // see chunkState
	untilClose
)

// chunkState is a position in a chunked body.
type chunkState uint8

const (
	inSize chunkState = iota
	inSizeSpace
	inExtension
	afterSizeCR
	inData
	afterData
	afterDataCR
	trailerStart
	inTrailer
	afterTrailerCR
	afterLastCR
)

// maxSizeDigits is the length of the largest chunk size that fits into 63 bits.
const maxSizeDigits = 15

// Stream follows the responses on a connection and validates the head of each one.
// It follows the framing of bodies, so that it knows which bytes are a head. The
// zero value is a connection without a request.
type Stream struct {
	phase   phase
	isHead  bool // the request has method HEAD
	started bool // a byte of the response was accepted
	parser  Parser
	err     error

	left       int64 // bytes of the body or of the chunk
	chunk      chunkState
	sizeDigits int
}

// Begin expects the response to a request with the method. The previous response
// must be complete, unless no byte of it arrived: its request may not have been
// written.
func (s *Stream) Begin(method string) {
	unanswered := s.phase == inHead && !s.started
	if s.phase != atEnd && !unanswered && s.err == nil {
		s.err = ErrUnfinished
	}
	s.phase, s.isHead, s.started, s.parser = inHead, method == http.MethodHead, false, Parser{}
}

// Accept validates bytes that were received. It returns how many of them may be
// passed on, and an error if the rest must not be. The bytes of a head that may be
// passed on before an error are never a complete head. The error is permanent.
func (s *Stream) Accept(b []byte) (int, error) {
	n := 0
	for n < len(b) && s.err == nil {
		n += s.acceptSome(b[n:])
	}
	return n, s.err
}

// acceptSome validates the bytes of one part of a response.
func (s *Stream) acceptSome(b []byte) int {
	switch s.phase {
	case inHead:
		return s.acceptHead(b)
	case inBody:
		n := min(s.left, int64(len(b)))
		if s.left -= n; s.left == 0 {
			s.phase = atEnd
		}
		return int(n)
	case inChunk:
		return s.acceptChunked(b)
	case untilClose:
		return len(b)
	default:
		s.err = ErrUnsolicited
		return 0
	}
}

func (s *Stream) acceptHead(b []byte) int {
	n, err := s.parser.Parse(b)
	s.started = s.started || n > 0
	s.err = err
	if !s.parser.Done() {
		return n
	}
	head := s.parser.Head()
	s.parser = Parser{}
	switch {
	case head.IsInterim():
	case s.isHead || head.Status == http.StatusNoContent || head.Status == http.StatusNotModified:
		s.phase = atEnd
	case head.Chunked:
		s.phase, s.chunk, s.sizeDigits, s.left = inChunk, inSize, 0, 0
	case head.Length > 0:
		s.phase, s.left = inBody, head.Length
	case head.Length == 0:
		s.phase = atEnd
	default:
		s.phase = untilClose
	}
	return n
}

// acceptChunked validates bytes of a chunked body.
func (s *Stream) acceptChunked(b []byte) int {
	for n := 0; n < len(b); {
		if s.chunk == inData {
			size := min(s.left, int64(len(b)-n))
			n += int(size)
			if s.left -= size; s.left == 0 {
				s.chunk = afterData
			}
			continue
		}
		if !s.nextInFraming(b[n]) {
			s.err = ErrChunk
			return n
		}
		n++
		if s.phase == atEnd {
			return n
		}
	}
	return len(b)
}

// nextInFraming reads one byte of a chunked body that is no data. It reports
// whether the byte is valid.
func (s *Stream) nextInFraming(c byte) bool {
	switch s.chunk {
	case inSize, inSizeSpace, inExtension, afterSizeCR:
		return s.nextInSizeLine(c)
	case afterData:
		s.chunk = afterDataCR
		return c == '\r'
	case afterDataCR:
		s.chunk, s.sizeDigits = inSize, 0
		return c == '\n'
	case trailerStart:
		s.chunk = inTrailer
		return c == '\r' && s.to(afterLastCR) || c == '\n' && s.toEnd() || isTextByte(c)
	case inTrailer:
		return c == '\r' && s.to(afterTrailerCR) || c == '\n' && s.to(trailerStart) || isTextByte(c)
	case afterTrailerCR:
		return c == '\n' && s.to(trailerStart)
	default: // afterLastCR
		return c == '\n' && s.toEnd()
	}
}

// nextInSizeLine reads one byte of the line that begins a chunk.
func (s *Stream) nextInSizeLine(c byte) bool {
	switch {
	case s.chunk == afterSizeCR:
		return c == '\n' && s.endSizeLine()
	case s.chunk == inSize && hexValue(c) >= 0:
		s.left = s.left<<4 | int64(hexValue(c))
		s.sizeDigits++
		return s.sizeDigits <= maxSizeDigits
	case s.sizeDigits == 0:
		return false
	case c == '\r':
		return s.to(afterSizeCR)
	case c == '\n':
		return s.endSizeLine()
	case s.chunk == inExtension:
		return isTextByte(c)
	case c == ';':
		return s.to(inExtension)
	default:
		return (c == ' ' || c == '\t') && s.to(inSizeSpace)
	}
}

func (s *Stream) endSizeLine() bool {
	if s.left == 0 {
		return s.to(trailerStart)
	}
	return s.to(inData)
}

func (s *Stream) to(next chunkState) bool {
	s.chunk = next
	return true
}

func (s *Stream) toEnd() bool {
	s.phase = atEnd
	return true
}

// hexValue returns the value of a hexadecimal digit, or -1.
func hexValue(c byte) int {
	switch lower := toLower(c); {
	case isDigit(c):
		return int(c - '0')
	case lower >= 'a' && lower <= 'f':
		return int(lower-'a') + 10
	default:
		return -1
	}
}
