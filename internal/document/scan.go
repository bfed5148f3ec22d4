package document

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"unicode/utf8"

	"github.com/endivehill/endivehill/internal/errkind"
)

const (
	// maxDepth is the deepest nesting; the deepest type of the schema needs 6.
	maxDepth = 32
	// maxDigits is the most digits of a number. It keeps numbers within int64,
	// and a short literal such as 1e999999999 from becoming a huge integer.
	maxDigits = 18
)

// container is one open object or array while a document is scanned.
type container struct {
	path   string
	fields map[string]bool // names seen; nil for an array
	name   string          // name of the field whose value comes next
	index  int
	inName bool // whether the next token of an object is a name
}

// scanner finds what encoding/json accepts silently: duplicate names, invalid
// UTF-8, text after the document, and numbers that are not plain integers.
type scanner struct {
	data    []byte
	decoder *json.Decoder
	open    []*container
	errs    Errors
}

func scan(data []byte) Errors {
	if !utf8.Valid(data) {
		return Errors{errkind.New(errkind.InvalidArgument, "document", "text is not valid UTF-8")}
	}
	s := &scanner{data: data, decoder: json.NewDecoder(bytes.NewReader(data))}
	s.decoder.UseNumber()
	s.run()
	return s.errs
}

func (s *scanner) run() {
	for {
		token, err := s.decoder.Token()
		if err != nil {
			s.syntax(err)
			return
		}
		if !s.take(token) {
			return
		}
		if len(s.open) == 0 {
			s.end()
			return
		}
	}
}

// take handles one token and reports whether to go on.
func (s *scanner) take(token json.Token) bool {
	if d, ok := token.(json.Delim); ok {
		return s.delimiter(d)
	}
	top := s.top()
	if top != nil && top.inName {
		s.fieldName(top, token.(string))
		return true
	}
	if n, ok := token.(json.Number); ok && !plainInteger(n.String()) {
		s.errs.Add(s.path(), "value %s is not an integer of at most %d digits", shorten(n.String()), maxDigits)
	}
	s.valueDone()
	return true
}

func (s *scanner) delimiter(d json.Delim) bool {
	switch d {
	case '{', '[':
		if len(s.open) == maxDepth {
			s.errs.Add(s.path(), "document is nested deeper than %d levels", maxDepth)
			return false
		}
		c := &container{path: s.path()}
		if d == '{' {
			c.fields = map[string]bool{}
			c.inName = true
		}
		s.open = append(s.open, c)
	default:
		s.open = s.open[:len(s.open)-1]
		s.valueDone()
	}
	return true
}

func (s *scanner) fieldName(c *container, name string) {
	if c.fields[name] {
		s.errs.Add(join(c.path, name), "field is given more than once")
	}
	c.fields[name] = true
	c.name = name
	c.inName = false
}

// valueDone moves the innermost container on to its next name or element.
func (s *scanner) valueDone() {
	top := s.top()
	if top == nil {
		return
	}
	top.index++
	top.inName = top.fields != nil
}

func (s *scanner) top() *container {
	if len(s.open) == 0 {
		return nil
	}
	return s.open[len(s.open)-1]
}

// path returns the path of the value that comes next.
func (s *scanner) path() string {
	top := s.top()
	switch {
	case top == nil:
		return ""
	case top.fields == nil:
		return fmt.Sprintf("%s[%d]", top.path, top.index)
	default:
		return join(top.path, top.name)
	}
}

func (s *scanner) end() {
	if _, err := s.decoder.Token(); err != io.EOF {
		s.errs.Add("document", "unexpected text after the end of the document at %s", s.position())
	}
}

func (s *scanner) syntax(err error) {
	if err == io.EOF || err == io.ErrUnexpectedEOF {
		s.errs.Add("document", "JSON ends too early at %s", s.position())
		return
	}
	s.errs.Add("document", "malformed JSON at %s: %v", s.position(), err)
}

// position returns line and column of the decoder.
func (s *scanner) position() string {
	read := s.data[:min(int(s.decoder.InputOffset()), len(s.data))]
	line := bytes.Count(read, []byte("\n")) + 1
	column := len(read) - bytes.LastIndexByte(read, '\n')
	return fmt.Sprintf("line %d column %d", line, column)
}

func plainInteger(s string) bool {
	if s[0] == '-' {
		s = s[1:]
	}
	if len(s) > maxDigits {
		return false
	}
	for _, c := range s {
		if c < '0' || c > '9' {
			return false
		}
	}
	return true
}
