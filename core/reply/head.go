package reply

import "strings"

// HeadError reports that a server sent what HTTP/1 does not allow as the head of an
// answer. The server is faulty: replace it.
type HeadError struct {
	// Why names what is not allowed.
	Why string
}

// Error implements error.
func (e HeadError) Error() string {
	return "the server's answer is not HTTP: " + e.Why + "; replace the server"
}

// headPart is a part of the head of an answer.
type headPart uint8

const (
	noHead     headPart = iota // no head is expected, or the final one has ended
	statusLine                 // up to the status code
	codeEnd                    // after the status code
	lineRest                   // after the status code or the name of a field, up to the end of the line
	lineStart
	fieldName
	blankLine // after its CR
)

// statusPattern is the start of a status line; 0 stands for any digit.
const statusPattern = "HTTP/1.0 000"

// Places in statusPattern of the minor version and of the status code.
const (
	versionDigitAt = len("HTTP/1.")
	firstDigitAt   = len("HTTP/1.0 ")
)

// headScanner checks the heads of an answer, the interim ones and the final one, as
// their bytes arrive (RFC 9112 sections 4 and 5, RFC 9110 sections 5.1 and 15).
// net/http accepts more: statuses from 000 to 999, blanks in the names of fields,
// lines that begin with a blank, and single line feeds, which may end a head where
// its server meant a byte of a name.
type headScanner struct {
	part    headPart
	matched int // bytes of statusPattern
	interim bool
	http10  bool   // has no transfer encodings (RFC 9112 section 6.1)
	name    []byte // of the field, in HTTP/1.0
	// lines counts those that have ended. A bare line feed ends them all or none.
	lines   int
	bare    bool
	afterCR bool
}

// expect begins a head.
func (s *headScanner) expect() { *s = headScanner{part: statusLine} }

// scan checks the next bytes of an answer. It returns how many of them are sound,
// and an error if that is not all.
func (s *headScanner) scan(b []byte) (int, error) {
	for i, c := range b {
		if s.part == noHead {
			break
		}
		if why := s.next(c); why != "" {
			return i, HeadError{why}
		}
		s.afterCR = c == '\r'
	}
	return len(b), nil
}

// next checks one byte. It returns what is wrong with it, or an empty text.
func (s *headScanner) next(c byte) string {
	switch s.part {
	case noHead:
	case statusLine:
		return s.nextOfStatus(c)
	case codeEnd:
		if c != ' ' && c != '\r' && c != '\n' {
			return "its status code has more than three digits"
		}
		s.part = lineRest
		return s.next(c)
	case lineRest:
		if c == '\n' {
			return s.endLine()
		}
	case lineStart:
		return s.nextOfLine(c)
	case fieldName:
		return s.nextOfName(c)
	case blankLine:
		if c != '\n' {
			return "the name of a field begins with a carriage return"
		}
		return s.endHead()
	}
	return ""
}

func (s *headScanner) nextOfStatus(c byte) string {
	want, isDigit := statusPattern[s.matched], '0' <= c && c <= '9'
	switch {
	case want == '0' && !isDigit, want != '0' && c != want:
		return "it does not begin with a status line"
	case s.matched == firstDigitAt && (c < '1' || c > '5'):
		return "its status code is not between 100 and 599"
	case s.matched == firstDigitAt:
		s.interim = c == '1'
	case s.matched == versionDigitAt:
		s.http10 = c == '0'
	}
	if s.matched++; s.matched == len(statusPattern) {
		s.part = codeEnd
	}
	return ""
}

func (s *headScanner) nextOfLine(c byte) string {
	switch {
	case c == '\r':
		s.part = blankLine
	case c == '\n':
		return s.endHead()
	case c == ' ' || c == '\t':
		return "a line begins with a blank"
	case !isTokenByte(c):
		return "the name of a field is empty or holds a byte that names must not have"
	default:
		s.part, s.name = fieldName, s.name[:0]
		return s.nextOfName(c)
	}
	return ""
}

func (s *headScanner) nextOfName(c byte) string {
	switch {
	case c == ':' && strings.EqualFold(string(s.name), "Transfer-Encoding"):
		return "an answer of HTTP/1.0 has a transfer encoding"
	case c == ':':
		s.part = lineRest
	case !isTokenByte(c):
		return "the name of a field holds a byte that names must not have"
	case s.http10:
		s.name = append(s.name, c)
	}
	return ""
}

// endLine is called for each line feed.
func (s *headScanner) endLine() string {
	if s.lines++; s.lines == 1 {
		s.bare = !s.afterCR
	}
	if s.bare == s.afterCR {
		return "its lines do not all end alike"
	}
	s.part = lineStart
	return ""
}

// endHead is called for the line feed of the blank line that ends a head.
func (s *headScanner) endHead() string {
	if why := s.endLine(); why != "" {
		return why
	}
	if s.part = noHead; s.interim {
		s.expect()
	}
	return ""
}

// isTokenByte reports whether the name of a field may have the byte (RFC 9110
// section 5.6.2).
func isTokenByte(c byte) bool {
	return 'a' <= c && c <= 'z' || 'A' <= c && c <= 'Z' || '0' <= c && c <= '9' || strings.IndexByte("!#$%&'*+-.^_`|~", c) >= 0
}
