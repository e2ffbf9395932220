// Package headtest holds malformed responses for the tests of all clients that
// read responses of targets.
package headtest

// Fields identifies a response to the request "id-1" for the clients of both
// programs.
const Fields = "X-Id: id-1\r\nX-Request-Id: id-1\r\nX-Mark: m\r\n"

// valid is a complete response that must not be taken for the response if it
// follows a malformed head.
const valid = "HTTP/1.1 200 OK\r\n" + Fields + "Content-Length: 5\r\n\r\nwrong"

// Case is a response that a client must reject.
type Case struct {
	Desc     string
	Response string
}

// withField is a response that is valid except for the field line.
func withField(line string) string {
	return "HTTP/1.1 200 OK\r\n" + line + "\r\n" + Fields + "Content-Length: 2\r\n\r\nok"
}

// withStatusLine is a response that is valid except for the status line.
func withStatusLine(line string) string {
	return line + "\r\n" + Fields + "Content-Length: 2\r\n\r\nok"
}

// Malformed are responses with a malformed head.
var Malformed = []Case{
	{"status 000 before a response", "HTTP/1.1 000 None\r\n\r\n" + valid},
	{"status 000", withStatusLine("HTTP/1.1 000 None")},
	{"status 099", withStatusLine("HTTP/1.1 099 Low")},
	{"status 600", withStatusLine("HTTP/1.1 600 High")},
	{"status 999", withStatusLine("HTTP/1.1 999 High")},
	{"status of two digits", withStatusLine("HTTP/1.1 20 OK")},
	{"status of four digits", withStatusLine("HTTP/1.1 2000 OK")},
	{"two spaces before the status", withStatusLine("HTTP/1.1  200 OK")},
	{"tab after the status", withStatusLine("HTTP/1.1 200\tOK")},
	{"HTTP/1.2", withStatusLine("HTTP/1.2 200 OK")},
	{"HTTP/2.0", withStatusLine("HTTP/2.0 200 OK")},
	{"lower-case protocol", withStatusLine("http/1.1 200 OK")},
	{"control byte in the reason", withStatusLine("HTTP/1.1 200 O\x01K")},
	{"bare CR in the status line", withStatusLine("HTTP/1.1 200 O\rK")},
	{"empty line first", "\r\n" + valid},
	{"switching protocols", withStatusLine("HTTP/1.1 101 Switching Protocols")},
	{"malformed interim response", "HTTP/1.1 103 Early\r\nX Y: 1\r\n\r\n" + valid},
	{"space in a name", withField("Content Length: 1")},
	{"space in front of the colon", withField("Content-Length : 1")},
	{"tab in front of the colon", withField("X-A\t: 1")},
	{"control byte in a name", withField("X-\x01A: 1")},
	{"NUL in front of the colon", withField("Content-Length\x00: 1")},
	{"byte above ASCII in a name", withField("X-\xe9: 1")},
	{"separator in a name", withField("X(A): 1")},
	{"empty name", withField(": 1")},
	{"no colon", withField("X-A")},
	{"control byte in a value", withField("X-A: a\x01b")},
	{"NUL in a value", withField("X-A: a\x00b")},
	{"DEL in a value", withField("X-A: a\x7fb")},
	{"bare CR in a value", withField("X-A: a\rb")},
	{"bare CR at the end of a value", withField("X-A: a\r")},
	{"folded value", withField("X-A: a\r\n b")},
	{"folded value with a tab", withField("X-A: a\r\n\tb")},
	{"folded first line", withField(" X-A: a")},
	{"line of one space", withField(" ")},
	{"length with a sign", withField("Content-Length: +2")},
	{"negative length", withField("Content-Length: -2")},
	{"length that is no number", withField("Content-Length: two")},
	{"empty length", withField("Content-Length:")},
	{"length of several digits apart", withField("Content-Length: 2 2")},
	{"lengths that differ", withField("Content-Length: 1")},
	{"list of lengths", withField("Content-Length: 2, 2")},
	{"length beyond 64 bits", "HTTP/1.1 200 OK\r\n" + Fields + "Content-Length: 18446744073709551618\r\n\r\nok"},
	{"length beside a transfer coding", "HTTP/1.1 200 OK\r\n" + Fields + "Content-Length: 2\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n"},
	{"length after a transfer coding", "HTTP/1.1 200 OK\r\n" + Fields + "Transfer-Encoding: chunked\r\nContent-Length: 2\r\n\r\n2\r\nok\r\n0\r\n\r\n"},
	{"transfer coding gzip", "HTTP/1.1 200 OK\r\n" + Fields + "Transfer-Encoding: gzip\r\n\r\nok"},
	{"transfer coding identity", "HTTP/1.1 200 OK\r\n" + Fields + "Transfer-Encoding: identity\r\n\r\nok"},
	{"two transfer codings", "HTTP/1.1 200 OK\r\n" + Fields + "Transfer-Encoding: gzip, chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n"},
	{"chunked twice", "HTTP/1.1 200 OK\r\n" + Fields + "Transfer-Encoding: chunked\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n"},
	{"empty transfer coding", "HTTP/1.1 200 OK\r\n" + Fields + "Transfer-Encoding:\r\n\r\nok"},
	{"transfer coding in HTTP/1.0", "HTTP/1.0 200 OK\r\n" + Fields + "Transfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n"},
}

// Valid are responses with unusual heads whose body is "ok".
var Valid = []Case{
	{"no reason", withStatusLine("HTTP/1.1 200")},
	{"empty reason", withStatusLine("HTTP/1.1 200 ")},
	{"bytes above ASCII", "HTTP/1.1 200 \xc3\xa9\r\n" + Fields + "X-A: \xc3\xa9\xff\r\nContent-Length: 2\r\n\r\nok"},
	{"HTTP/1.0", withStatusLine("HTTP/1.0 200 OK")},
	{"empty value", withField("X-A:")},
	{"no space after the colon", withField("X-A:b")},
	{"tab in a value", withField("X-A: a\tb\t")},
	{"colon in a value", withField("X-A: a:b")},
	{"unusual name", withField("!#$%&'*+-.^_`|~09aZ: 1")},
	{"two equal lengths", withField("content-length: 2\t")},
	{"chunked", "HTTP/1.1 200 OK\r\n" + Fields + "transfer-encoding: Chunked \r\n\r\n2;x=y\r\nok\r\n0\r\nX-Trailer: t\r\n\r\n"},
	{"interim responses", "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early\r\nLink: </a>\r\n\r\n" + withStatusLine("HTTP/1.1 200 OK")},
	{"bare LF", "HTTP/1.1 200 OK\nX-Id: id-1\nX-Request-Id: id-1\nX-Mark: m\nContent-Length: 2\n\nok"},
}
