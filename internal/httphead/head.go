// Package httphead validates the heads of HTTP/1.x responses byte by byte, before
// a more tolerant parser sees them. Package net/http accepts, among others, status
// 000, spaces in field names, folded lines and a length beside a transfer coding,
// so that two readers of such a response may disagree about where it ends.
package httphead

import (
	"errors"
	"math"
)

// Reasons why a head is rejected. Each names the rule that the head breaks.
var (
	ErrStatusLine = errors.New("malformed response head: status line")
	ErrUpgrade    = errors.New("malformed response head: switches protocols without a request to do so")
	ErrFieldName  = errors.New("malformed response head: field name is not a token directly followed by a colon")
	ErrFieldValue = errors.New("malformed response head: control byte in a field value")
	ErrFolded     = errors.New("malformed response head: folded line")
	ErrBareCR     = errors.New("malformed response head: CR without LF")
	ErrLength     = errors.New("malformed response head: Content-Length")
	ErrCoding     = errors.New("malformed response head: transfer coding other than chunked")
)

const (
	protocol         = "HTTP/1." // followed by the minor version
	minStatus        = 100
	maxStatus        = 599
	switchProtocols  = 101
	firstFinalStatus = 200

	lengthName = "content-length"
	codingName = "transfer-encoding"
	chunked    = "chunked"
)

// Head is what a head says about the framing of its response.
type Head struct {
	Status  int
	Length  int64 // Content-Length; -1: none
	Chunked bool  // the only transfer coding is chunked
}

// IsInterim reports whether another response to the same request follows.
func (h Head) IsInterim() bool { return h.Status < firstFinalStatus }

// state is the position of a Parser in a head.
type state uint8

const (
	inProtocol state = iota
	inMinorVersion
	beforeStatus
	inStatus
	afterStatus
	inReason
	lineStart
	inName
	beforeValue
	inValue
	afterCR    // a line feed must follow
	afterEndCR // the line feed of the empty line must follow
	ended
)

// field is a field that concerns the framing.
type field uint8

const (
	otherField field = iota
	lengthField
	codingField
)

// Parser validates one head, which may arrive in pieces. The zero value is ready
// for use; it allocates nothing.
type Parser struct {
	state    state
	position int // bytes of the protocol, digits of the status or bytes of the name so far
	minor    byte
	head     Head
	err      error

	// The name may still be that of each of these fields.
	maybeLength, maybeCoding bool
	field                    field // whose value is read

	length     int64 // value of this Content-Length
	hasLength  bool  // a Content-Length was read completely
	valueBytes int   // bytes of the value so far, without the white space around it
	valueEnded bool  // white space followed the value
}

// Done reports whether the head is complete and valid.
func (p *Parser) Done() bool { return p.state == ended && p.err == nil }

// Head returns the framing once Done reports true.
func (p *Parser) Head() Head { return p.head }

// Parse reads bytes up to the end of the head. It returns the number of bytes
// that belong to the valid part of the head. Its error is permanent; the byte that
// caused it is not counted.
func (p *Parser) Parse(b []byte) (int, error) {
	if p.err != nil {
		return 0, p.err
	}
	for n := 0; n < len(b); n++ {
		if p.state == ended {
			return n, nil
		}
		if (p.state == inValue || p.state == beforeValue) && p.field == otherField {
			n += plainBytes(b[n:])
			if n == len(b) {
				break
			}
		}
		if p.err = p.next(b[n]); p.err != nil {
			return n, p.err
		}
	}
	return len(b), nil
}

// plainBytes returns how many bytes at the start of b may be in a value.
func plainBytes(b []byte) int {
	for n, c := range b {
		if !isTextByte(c) {
			return n
		}
	}
	return len(b)
}

// next reads one byte.
func (p *Parser) next(c byte) error {
	switch p.state {
	case inProtocol, inMinorVersion, beforeStatus, inStatus, afterStatus, inReason:
		return p.nextInStatusLine(c)
	case lineStart:
		return p.startLine(c)
	case inName:
		return p.nextInName(c)
	case beforeValue, inValue:
		return p.nextInValue(c)
	case afterCR:
		if c != '\n' {
			return ErrBareCR
		}
		p.state = lineStart
	case afterEndCR:
		if c != '\n' {
			return ErrBareCR
		}
		p.state = ended
	}
	return nil
}

// nextInStatusLine reads one byte of the status line.
func (p *Parser) nextInStatusLine(c byte) error {
	switch p.state {
	case inProtocol:
		if c != protocol[p.position] {
			return ErrStatusLine
		}
		if p.position++; p.position == len(protocol) {
			p.state = inMinorVersion
		}
	case inMinorVersion:
		if c != '0' && c != '1' {
			return ErrStatusLine
		}
		p.minor, p.state = c, beforeStatus
	case beforeStatus:
		if c != ' ' {
			return ErrStatusLine
		}
		p.state, p.position = inStatus, 0
	case inStatus:
		if !isDigit(c) {
			return ErrStatusLine
		}
		p.head.Status = 10*p.head.Status + int(c-'0')
		if p.position++; p.position == len("200") {
			return p.endStatus()
		}
	case afterStatus:
		if c != ' ' && c != '\r' && c != '\n' {
			return ErrStatusLine
		}
		p.state = inReason
		return p.nextInReason(c)
	case inReason:
		return p.nextInReason(c)
	}
	return nil
}

// endStatus checks the status code.
func (p *Parser) endStatus() error {
	p.state = afterStatus
	switch {
	case p.head.Status < minStatus || p.head.Status > maxStatus:
		return ErrStatusLine
	case p.head.Status == switchProtocols:
		return ErrUpgrade
	}
	return nil
}

// nextInReason reads one byte of the reason phrase or of the end of its line.
func (p *Parser) nextInReason(c byte) error {
	if p.endsLine(c) {
		p.head.Length = -1
		return nil
	}
	if !isTextByte(c) {
		return ErrStatusLine
	}
	return nil
}

// endsLine moves on if the byte ends a line.
func (p *Parser) endsLine(c byte) bool {
	switch c {
	case '\r':
		p.state = afterCR
	case '\n':
		p.state = lineStart
	default:
		return false
	}
	return true
}

// startLine reads the first byte of a field line or of the empty line.
func (p *Parser) startLine(c byte) error {
	switch c {
	case '\r':
		p.state = afterEndCR
		return nil
	case '\n':
		p.state = ended
		return nil
	case ' ', '\t':
		return ErrFolded
	case ':':
		return ErrFieldName
	}
	p.state, p.position = inName, 0
	p.maybeLength, p.maybeCoding = true, true
	return p.nextInName(c)
}

// nextInName reads one byte of a field name or the colon behind it.
func (p *Parser) nextInName(c byte) error {
	if c == ':' {
		p.startValue()
		return nil
	}
	if !isTokenByte[c] {
		return ErrFieldName
	}
	lower := toLower(c)
	p.maybeLength = p.maybeLength && p.position < len(lengthName) && lengthName[p.position] == lower
	p.maybeCoding = p.maybeCoding && p.position < len(codingName) && codingName[p.position] == lower
	p.position++
	return nil
}

func (p *Parser) startValue() {
	p.state, p.valueBytes, p.valueEnded = beforeValue, 0, false
	switch {
	case p.maybeLength && p.position == len(lengthName):
		p.field, p.length = lengthField, 0
	case p.maybeCoding && p.position == len(codingName):
		p.field = codingField
	default:
		p.field = otherField
	}
}

// nextInValue reads one byte of a value or of the end of its line.
func (p *Parser) nextInValue(c byte) error {
	if c == '\r' || c == '\n' {
		if err := p.endValue(); err != nil {
			return err
		}
		p.endsLine(c)
		return nil
	}
	if !isTextByte(c) {
		return ErrFieldValue
	}
	if p.field == otherField {
		return nil
	}
	if c == ' ' || c == '\t' {
		p.valueEnded = p.valueBytes > 0
		return nil
	}
	p.state = inValue
	if p.field == lengthField {
		return p.nextInLength(c)
	}
	return p.nextInCoding(c)
}

func (p *Parser) nextInLength(c byte) error {
	if p.valueEnded || !isDigit(c) {
		return ErrLength
	}
	digit := int64(c - '0')
	if p.length > (math.MaxInt64-digit)/10 {
		return ErrLength
	}
	p.length = 10*p.length + digit
	p.valueBytes++
	return nil
}

func (p *Parser) nextInCoding(c byte) error {
	if p.valueEnded || p.valueBytes == len(chunked) || toLower(c) != chunked[p.valueBytes] {
		return ErrCoding
	}
	p.valueBytes++
	return nil
}

// endValue checks the value of a field that concerns the framing.
func (p *Parser) endValue() error {
	switch p.field {
	case lengthField:
		if p.valueBytes == 0 || p.hasLength && p.length != p.head.Length || p.head.Chunked {
			return ErrLength
		}
		p.head.Length, p.hasLength = p.length, true
	case codingField:
		if p.hasLength {
			return ErrLength
		}
		// HTTP/1.0 has no transfer codings, so its readers disagree about the end
		// of such a response (RFC 9112, section 6.1).
		if p.valueBytes != len(chunked) || p.head.Chunked || p.minor == '0' {
			return ErrCoding
		}
		p.head.Chunked = true
	}
	return nil
}

func isDigit(c byte) bool { return c >= '0' && c <= '9' }

// isTextByte reports whether the byte may be in a field value: it is no control
// byte other than horizontal tab.
func isTextByte(c byte) bool { return c >= ' ' && c != 0x7f || c == '\t' }

func toLower(c byte) byte {
	if c >= 'A' && c <= 'Z' {
		return c + 'a' - 'A'
	}
	return c
}

// isTokenByte tells which bytes a token of RFC 9110, section 5.6.2, consists of.
var isTokenByte = func() (table [256]bool) {
	for c := range table {
		b := toLower(byte(c))
		table[c] = isDigit(b) || b >= 'a' && b <= 'z'
	}
	for _, c := range []byte("!#$%&'*+-.^_`|~") {
		table[c] = true
	}
	return table
}()
