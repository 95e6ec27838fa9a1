// Package jsonc decodes JSON with comments. Decoding is strict: unknown fields,
// duplicate names and values of the wrong type are reported as problems with line,
// path and the expected value.
package jsonc

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"reflect"
	"sort"
	"strconv"
	"strings"
	"sync"

	"github.com/tailscale/hujson"
)

// MaxBytes is the largest size of a document or a settings file, in bytes.
const MaxBytes = 4 << 20

// Problem is one error in a document.
type Problem struct {
	// File is the name of the document, as given to Parse.
	File string `json:"file"`
	// Line is the line of the error, counted from 1; 0 if unknown.
	Line int `json:"line"`
	// Path is the JSON pointer of the invalid value, "" for the whole document.
	Path string `json:"path"`
	// Message describes what was found and what was expected.
	Message string `json:"message"`
}

// Error returns the problem as "file:line: path: message".
func (p Problem) Error() string {
	path := p.Path
	if path == "" {
		path = "/"
	}
	return fmt.Sprintf("%s:%d: %s: %s", p.File, p.Line, path, p.Message)
}

// Problems is a list of errors in a document. Use Err to return it as an error.
type Problems []Problem

// Error returns the problems, one on each line.
func (ps Problems) Error() string {
	lines := make([]string, 0, len(ps))
	for _, p := range ps {
		lines = append(lines, p.Error())
	}
	return strings.Join(lines, "\n")
}

// Err returns the list as an error sorted by line, or nil if it is empty.
func (ps Problems) Err() error {
	if len(ps) == 0 {
		return nil
	}
	sort.SliceStable(ps, func(i, j int) bool { return ps[i].Line < ps[j].Line })
	return ps
}

// Source is a parsed document with the line of each value.
type Source struct {
	file  string
	data  []byte
	value hujson.Value
}

// Parse parses JSON with comments. A syntax error is returned as Problems.
func Parse(file string, data []byte) (*Source, error) {
	if len(data) > MaxBytes {
		return nil, Problems{{File: file, Line: 1, Message: fmt.Sprintf("document has %d bytes, expected at most %d", len(data), MaxBytes)}}
	}
	// hujson needs a line end after a comment on the last line.
	data = append(bytes.Clone(data), '\n')
	value, err := hujson.Parse(data)
	if err != nil {
		return nil, Problems{{File: file, Line: syntaxLine(err), Message: err.Error()}}
	}
	// Standardize replaces comments with spaces, so that all offsets stay valid.
	value.Standardize()
	return &Source{file: file, data: data, value: value}, nil
}

// syntaxLine extracts the line number from the text of a hujson error; it returns 1
// if there is none.
func syntaxLine(err error) int {
	_, rest, found := strings.Cut(err.Error(), "line ")
	if !found {
		return 1
	}
	digits := strings.SplitN(rest, ",", 2)[0]
	line, convErr := strconv.Atoi(digits)
	if convErr != nil {
		return 1
	}
	return line
}

// Problem returns a problem at a JSON pointer of the source.
func (s *Source) Problem(path, format string, args ...any) Problem {
	return Problem{File: s.file, Line: s.Line(path), Path: path, Message: fmt.Sprintf(format, args...)}
}

// Line returns the line of the value at the path, or of its nearest
// existing ancestor.
func (s *Source) Line(path string) int {
	for {
		if v := s.value.Find(path); v != nil {
			return 1 + bytes.Count(s.data[:v.StartOffset], []byte("\n"))
		}
		cut := strings.LastIndexByte(path, '/')
		if cut < 0 {
			return 1
		}
		path = path[:cut]
	}
}

// Decode decodes the source into a pointer to a struct. Unknown fields,
// duplicate names and values of the wrong type are returned as Problems.
func (s *Source) Decode(result any) error {
	var problems Problems
	s.checkNames(&s.value, reflect.TypeOf(result).Elem(), nil, &problems)
	if err := problems.Err(); err != nil {
		return err
	}
	decoder := json.NewDecoder(bytes.NewReader(s.value.Pack()))
	if err := decoder.Decode(result); err != nil {
		return s.decodeProblem(err)
	}
	if _, err := decoder.Token(); !errors.Is(err, io.EOF) {
		return Problems{s.Problem("", "expected one JSON value and nothing after it")}
	}
	return nil
}

// decodeProblem converts an error of encoding/json to Problems.
func (s *Source) decodeProblem(err error) error {
	var typeErr *json.UnmarshalTypeError
	if !errors.As(err, &typeErr) {
		return Problems{s.Problem("", "%v", err)}
	}
	line := 1 + bytes.Count(s.data[:min(int(typeErr.Offset), len(s.data))], []byte("\n"))
	path := "/" + strings.ReplaceAll(typeErr.Field, ".", "/")
	return Problems{{File: s.file, Line: line, Path: path, Message: fmt.Sprintf("found a JSON %s, expected %s", typeErr.Value, typeErr.Type)}}
}

// location is the position of a value in the document. It is converted to a JSON
// pointer only if there is a problem to report.
type location struct {
	parent *location
	name   string
	// index is the position in an array; it is used if name is empty.
	index int
}

// pointer returns the JSON pointer of the location, "" for the whole document.
func (l *location) pointer() string {
	if l == nil {
		return ""
	}
	if l.name == "" {
		return l.parent.pointer() + "/" + strconv.Itoa(l.index)
	}
	return l.parent.pointer() + "/" + escapeToken(l.name)
}

// checkNames adds a problem for each unknown or duplicate member name below the
// value at the location. t is the type into which the value is decoded.
func (s *Source) checkNames(v *hujson.Value, t reflect.Type, at *location, problems *Problems) {
	for t.Kind() == reflect.Pointer {
		t = t.Elem()
	}
	switch node := v.Value.(type) {
	case *hujson.Object:
		s.checkObject(node, t, at, problems)
	case *hujson.Array:
		if t.Kind() != reflect.Slice {
			return
		}
		for i := range node.Elements {
			s.checkNames(&node.Elements[i], t.Elem(), &location{parent: at, index: i}, problems)
		}
	}
}

// checkObject is checkNames for an object.
func (s *Source) checkObject(object *hujson.Object, t reflect.Type, at *location, problems *Problems) {
	seen := make(map[string]bool, len(object.Members))
	fields := fieldTypes(t)
	for i := range object.Members {
		member := &object.Members[i]
		name := memberName(member.Name.Value.(hujson.Literal))
		memberAt := &location{parent: at, name: name}
		if seen[name] {
			*problems = append(*problems, s.Problem(memberAt.pointer(), "name %q stands twice in one object", name))
			continue
		}
		seen[name] = true
		switch {
		case t.Kind() == reflect.Map:
			s.checkNames(&member.Value, t.Elem(), memberAt, problems)
		case t.Kind() != reflect.Struct:
			return
		case fields[name] == nil:
			*problems = append(*problems, s.Problem(memberAt.pointer(), "unknown field %q, expected one of %s", name, strings.Join(sortedNames(fields), ", ")))
		default:
			s.checkNames(&member.Value, fields[name], memberAt, problems)
		}
	}
}

// memberName returns the member name that the literal encodes. Names without escapes
// are only stripped of their quotes.
func memberName(literal hujson.Literal) string {
	if bytes.IndexByte(literal, '\\') >= 0 {
		return literal.String()
	}
	return string(literal[1 : len(literal)-1])
}

// escapeToken returns a member name as a JSON pointer token (RFC 6901).
func escapeToken(name string) string {
	return strings.ReplaceAll(strings.ReplaceAll(name, "~", "~0"), "/", "~1")
}

// fieldTypesCache holds the results of fieldTypes by type.
var fieldTypesCache sync.Map

// fieldTypes returns the types of a struct's fields by their JSON names.
func fieldTypes(t reflect.Type) map[string]reflect.Type {
	if cached, ok := fieldTypesCache.Load(t); ok {
		return cached.(map[string]reflect.Type)
	}
	fields := map[string]reflect.Type{}
	if t.Kind() == reflect.Struct {
		for i := range t.NumField() {
			field := t.Field(i)
			name, _, _ := strings.Cut(field.Tag.Get("json"), ",")
			if name != "" && name != "-" {
				fields[name] = field.Type
			}
		}
	}
	fieldTypesCache.Store(t, fields)
	return fields
}

// sortedNames returns the names of the fields in alphabetical order.
func sortedNames(fields map[string]reflect.Type) []string {
	names := make([]string, 0, len(fields))
	for name := range fields {
		names = append(names, name)
	}
	sort.Strings(names)
	return names
}
