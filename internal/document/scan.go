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
	// maxDepth is the maximum nesting depth; the deepest type of the schema needs 6.
	maxDepth = 32
	// maxDigits is the maximum number of digits of a number. It keeps numbers within
	// int64. Exponents are rejected as well: a short literal such as 1e999999999
	// would become a huge integer.
	maxDigits = 18
)

// openContainer is an object or array whose end has not been scanned yet.
type openContainer struct {
	path        string
	fields      map[string]bool // names scanned so far; nil for an array
	fieldName   string          // name of the field whose value comes next
	index       int
	expectsName bool // whether the next token is the name of a field
}

// scanner reports malformed JSON and, beyond it, what a json.Decoder would accept:
// duplicate names, deep nesting, text after the document, and numbers that are not plain
// integers.
type scanner struct {
	data           []byte
	decoder        *json.Decoder
	openContainers []*openContainer
	errs           Errors
}

// scan returns the errors in the text of a document. It also rejects invalid UTF-8,
// which encoding/json accepts.
func scan(data []byte) Errors {
	if !utf8.Valid(data) {
		return Errors{errkind.New(errkind.InvalidArgument, "document", "text is not valid UTF-8")}
	}
	s := &scanner{data: data, decoder: json.NewDecoder(bytes.NewReader(data))}
	s.decoder.UseNumber()
	s.scanTokens()
	return s.errs
}

func (s *scanner) scanTokens() {
	for {
		token, err := s.decoder.Token()
		if err != nil {
			s.addSyntaxError(err)
			return
		}
		if !s.handleToken(token) {
			return
		}
		if len(s.openContainers) == 0 {
			s.checkEnd()
			return
		}
	}
}

// handleToken handles one token and reports whether scanning can continue.
func (s *scanner) handleToken(token json.Token) bool {
	if d, ok := token.(json.Delim); ok {
		return s.handleDelimiter(d)
	}
	top := s.innermost()
	if top != nil && top.expectsName {
		s.handleFieldName(top, token.(string))
		return true
	}
	if n, ok := token.(json.Number); ok && !isPlainInteger(n.String()) {
		s.errs.Add(s.nextPath(), "value %s is not an integer of at most %d digits", truncate(n.String()), maxDigits)
	}
	s.endValue()
	return true
}

func (s *scanner) handleDelimiter(d json.Delim) bool {
	switch d {
	case '{', '[':
		if len(s.openContainers) == maxDepth {
			s.errs.Add(s.nextPath(), "document is nested deeper than %d levels", maxDepth)
			return false
		}
		c := &openContainer{path: s.nextPath()}
		if d == '{' {
			c.fields = map[string]bool{}
			c.expectsName = true
		}
		s.openContainers = append(s.openContainers, c)
	default:
		s.openContainers = s.openContainers[:len(s.openContainers)-1]
		s.endValue()
	}
	return true
}

func (s *scanner) handleFieldName(c *openContainer, name string) {
	if c.fields[name] {
		s.errs.Add(joinPath(c.path, name), "field is given more than once")
	}
	c.fields[name] = true
	c.fieldName = name
	c.expectsName = false
}

// endValue advances the innermost container to its next field or element.
func (s *scanner) endValue() {
	top := s.innermost()
	if top == nil {
		return
	}
	top.index++
	top.expectsName = top.fields != nil
}

func (s *scanner) innermost() *openContainer {
	if len(s.openContainers) == 0 {
		return nil
	}
	return s.openContainers[len(s.openContainers)-1]
}

// nextPath returns the path of the next value.
func (s *scanner) nextPath() string {
	top := s.innermost()
	switch {
	case top == nil:
		return ""
	case top.fields == nil:
		return fmt.Sprintf("%s[%d]", top.path, top.index)
	default:
		return joinPath(top.path, top.fieldName)
	}
}

func (s *scanner) checkEnd() {
	if _, err := s.decoder.Token(); err != io.EOF {
		s.errs.Add("document", "unexpected text after the end of the document at %s", s.position())
	}
}

func (s *scanner) addSyntaxError(err error) {
	if err == io.EOF || err == io.ErrUnexpectedEOF {
		s.errs.Add("document", "JSON ends too early at %s", s.position())
		return
	}
	s.errs.Add("document", "malformed JSON at %s: %v", s.position(), err)
}

// position returns the line and column that the decoder has reached.
func (s *scanner) position() string {
	read := s.data[:min(int(s.decoder.InputOffset()), len(s.data))]
	line := bytes.Count(read, []byte("\n")) + 1
	column := len(read) - bytes.LastIndexByte(read, '\n')
	return fmt.Sprintf("line %d column %d", line, column)
}

func isPlainInteger(s string) bool {
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
