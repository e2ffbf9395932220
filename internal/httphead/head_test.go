package httphead

import (
	"bufio"
	"bytes"
	"io"
	"net/http"
	"strings"
	"testing"
	"testing/iotest"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/sequoialane/sequoialane/internal/httphead/headtest"
)

// Guards against a rule that depends on how the bytes of a head are divided.
func TestHeadsInPieces(t *testing.T) {
	for _, tc := range headtest.Malformed {
		for _, size := range []int{1, 2, 7, len(tc.Response)} {
			_, err := feed(tc.Response, size)
			assert.Error(t, err, "%s, pieces of %d bytes", tc.Desc, size)
		}
	}
	for _, tc := range headtest.Valid {
		for _, size := range []int{1, 2, 7, len(tc.Response)} {
			s, err := feed(tc.Response, size)
			require.NoError(t, err, "%s, pieces of %d bytes", tc.Desc, size)
			assert.Equal(t, atEnd, s.phase, tc.Desc)
		}
	}
}

// feed passes a response to a GET request to a Stream in pieces.
func feed(response string, size int) (*Stream, error) {
	s := &Stream{}
	s.Begin(http.MethodGet)
	for len(response) > 0 {
		piece := response[:min(size, len(response))]
		response = response[len(piece):]
		if _, err := s.Accept([]byte(piece)); err != nil {
			return s, err
		}
	}
	return s, nil
}

// Guards against a malformed body that hides where the next head begins, and
// against bytes behind a response that are taken for the next one.
func TestFraming(t *testing.T) {
	const chunks = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
	cases := []struct {
		desc, method, response string
		want                   error
	}{
		{"length", "GET", "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok", nil},
		{"bytes behind a length", "GET", "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nokHTTP/1.1 200 OK", ErrUnsolicited},
		{"HEAD", "HEAD", "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n", nil},
		{"body of HEAD", "HEAD", "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok", ErrUnsolicited},
		{"body of 204", "GET", "HTTP/1.1 204 No\r\nContent-Length: 2\r\n\r\nok", ErrUnsolicited},
		{"body of 304", "GET", "HTTP/1.1 304 No\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n", ErrUnsolicited},
		{"until the close", "GET", "HTTP/1.1 200 OK\r\n\r\nHTTP/1.1 000\r\n", nil},
		{"chunks", "GET", chunks + "a \r\n0123456789\r\n02;x\r\nok\r\n000\r\nT: x\r\n\r\n", nil},
		{"bytes behind chunks", "GET", chunks + "0\r\n\r\nH", ErrUnsolicited},
		{"no size", "GET", chunks + "\r\n", ErrChunk},
		{"size with a sign", "GET", chunks + "+1\r\n", ErrChunk},
		{"size of two numbers", "GET", chunks + "1 1\r\n", ErrChunk},
		{"size beyond 63 bits", "GET", chunks + "1000000000000000\r\n", ErrChunk},
		{"data longer than its size", "GET", chunks + "1\r\nok\r\n", ErrChunk},
		{"bare CR in an extension", "GET", chunks + "1;\rx\r\n", ErrChunk},
		{"bare CR in a trailer", "GET", chunks + "0\r\nT: \rx\r\n\r\n", ErrChunk},
	}
	for _, tc := range cases {
		var s Stream
		s.Begin(tc.method)
		_, err := s.Accept([]byte(tc.response))
		assert.Equal(t, tc.want, err, tc.desc)
	}
	unfinished := Stream{}
	unfinished.Begin("GET")
	unfinished.Begin("GET") // the first request was not written
	_, err := unfinished.Accept([]byte("HTTP/1.1"))
	require.NoError(t, err)
	unfinished.Begin("GET")
	_, err = unfinished.Accept([]byte(" 200 OK\r\n"))
	assert.Equal(t, ErrUnfinished, err)
}

// Guards against a reader of the valid part of a response that finds a complete
// head in it although the head was rejected, or that finds no byte at all.
func TestValidator(t *testing.T) {
	for _, tc := range headtest.Malformed {
		var v Validator
		v.Begin(http.MethodGet)
		source := strings.NewReader(tc.Response)
		reader := bufio.NewReader(readerFunc(func(p []byte) (int, error) { return v.Read(source, p) }))
		_, err := reader.Peek(1)
		require.NoError(t, err, tc.Desc)
		for {
			response, err := http.ReadResponse(reader, nil)
			if err != nil {
				break
			}
			require.Equal(t, 1, response.StatusCode/100, tc.Desc)
			require.NotEqual(t, http.StatusSwitchingProtocols, response.StatusCode, tc.Desc)
		}
	}
}

type readerFunc func(p []byte) (int, error)

func (f readerFunc) Read(p []byte) (int, error) { return f(p) }

// Guards against a response of which package net/http has another understanding
// than the validator: its status, its framing or its end.
func FuzzStream(f *testing.F) {
	for _, tc := range append(append([]headtest.Case{}, headtest.Malformed...), headtest.Valid...) {
		f.Add([]byte(tc.Response))
	}
	f.Fuzz(func(t *testing.T, sent []byte) {
		whole, pieces := Stream{}, Stream{}
		whole.Begin(http.MethodGet)
		pieces.Begin(http.MethodGet)
		accepted, err := whole.Accept(sent)
		n := 0
		for ; n < len(sent); n++ {
			if _, pieceErr := pieces.Accept(sent[n : n+1]); pieceErr != nil {
				break
			}
		}
		if n != accepted || pieces.err != err {
			t.Fatalf("%d bytes and %v at once, %d and %v in pieces", accepted, err, n, pieces.err)
		}
		reader := bufio.NewReader(io.MultiReader(bytes.NewReader(sent[:accepted]), iotest.ErrReader(io.ErrUnexpectedEOF)))
		var response *http.Response
		for response == nil || response.StatusCode < 200 {
			var headErr error
			if response, headErr = http.ReadResponse(reader, &http.Request{Method: http.MethodGet}); headErr != nil {
				return
			}
			if response.StatusCode < 100 || response.StatusCode > 599 || response.StatusCode == 101 {
				t.Fatalf("status %d", response.StatusCode)
			}
		}
		for name := range response.Header {
			for _, c := range []byte(name) {
				if !isTokenByte[c] {
					t.Fatalf("field name %q", name)
				}
			}
		}
		if whole.phase == inHead {
			t.Fatal("net/http read a head that is not complete")
		}
		_, bodyErr := io.Copy(io.Discard, response.Body)
		switch {
		case bodyErr != nil:
		case whole.phase != atEnd:
			t.Fatalf("net/http found the end of the response, the validator is in phase %d", whole.phase)
		case reader.Buffered() > 0:
			t.Fatalf("net/http left %d bytes of the response", reader.Buffered())
		}
	})
}

func BenchmarkStream(b *testing.B) {
	response := []byte("HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nX-Request-Id: 0190a1b2-c3d4-7e5f-8a9b-0c1d2e3f4a5b\r\nX-Signature: 0123456789abcdef0123456789abcdef\r\nX-Load: 2,0,3\r\nDate: Mon, 07 Dec 2026 03:30:00 GMT\r\nContent-Length: 1500\r\n\r\n" + strings.Repeat("x", 1500))
	b.ReportAllocs()
	for range b.N {
		var s Stream
		s.Begin(http.MethodGet)
		if _, err := s.Accept(response); err != nil {
			b.Fatal(err)
		}
	}
}
