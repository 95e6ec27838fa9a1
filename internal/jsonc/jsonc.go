// Package jsonc decodes JSON with comments strictly and reports every
// problem with its line, its path and what was expected there.
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

// MaxBytes bounds a document or a settings file, in bytes.
const MaxBytes = 4 << 20

// Problem is one fault in a document.
type Problem struct {
	// File is the name of the document, as given to Decode.
	File string `json:"file"`
	// Line is the line of the fault, counted from 1; 0 if unknown.
	Line int `json:"line"`
	// Path is the JSON pointer of the faulty value, "" for the whole document.
	Path string `json:"path"`
	// Message says what was found and what was expected.
	Message string `json:"message"`
}

// Error formats the problem as "file:line: path: message".
func (p Problem) Error() string {
	path := p.Path
	if path == "" {
		path = "/"
	}
	return fmt.Sprintf("%s:%d: %s: %s", p.File, p.Line, path, p.Message)
}

// Problems is a list of faults; it is an error if it is not empty.
type Problems []Problem

// Error formats one problem a line.
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

// Source is a parsed document that knows the line of each of its values.
type Source struct {
	file  string
	data  []byte
	value hujson.Value
}

// Parse reads JSON with comments. A syntax error is returned as Problems.
func Parse(file string, data []byte) (*Source, error) {
	if len(data) > MaxBytes {
		return nil, Problems{{File: file, Line: 1, Message: fmt.Sprintf("document has %d bytes, expected at most %d", len(data), MaxBytes)}}
	}
	// A comment on the last line needs a line end behind it.
	data = append(bytes.Clone(data), '\n')
	value, err := hujson.Parse(data)
	if err != nil {
		return nil, Problems{{File: file, Line: syntaxLine(err), Message: err.Error()}}
	}
	// Comments become blanks, so that all offsets stay as they are.
	value.Standardize()
	return &Source{file: file, data: data, value: value}, nil
}

// syntaxLine extracts the line number from a hujson error text.
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

// Problem makes a problem at a JSON pointer path of the source.
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
func (s *Source) Decode(into any) error {
	var problems Problems
	s.checkNames(&s.value, reflect.TypeOf(into).Elem(), nil, &problems)
	if err := problems.Err(); err != nil {
		return err
	}
	decoder := json.NewDecoder(bytes.NewReader(s.value.Pack()))
	if err := decoder.Decode(into); err != nil {
		return s.decodeProblem(err)
	}
	if _, err := decoder.Token(); !errors.Is(err, io.EOF) {
		return Problems{s.Problem("", "expected one JSON value and nothing after it")}
	}
	return nil
}

// decodeProblem translates an encoding/json error to a Problem.
func (s *Source) decodeProblem(err error) error {
	var typeErr *json.UnmarshalTypeError
	if !errors.As(err, &typeErr) {
		return Problems{s.Problem("", "%v", err)}
	}
	line := 1 + bytes.Count(s.data[:min(int(typeErr.Offset), len(s.data))], []byte("\n"))
	path := "/" + strings.ReplaceAll(typeErr.Field, ".", "/")
	return Problems{{File: s.file, Line: line, Path: path, Message: fmt.Sprintf("found a JSON %s, expected %s", typeErr.Value, typeErr.Type)}}
}

// place is a value's position in the document; it becomes a JSON pointer
// only when there is a problem to report.
type place struct {
	parent *place
	name   string
	// index is used in place of an empty name.
	index int
}

// pointer returns the JSON pointer of the place, "" for the document.
func (p *place) pointer() string {
	if p == nil {
		return ""
	}
	if p.name == "" {
		return p.parent.pointer() + "/" + strconv.Itoa(p.index)
	}
	return p.parent.pointer() + "/" + escape(p.name)
}

// checkNames reports unknown and duplicate member names below a value.
func (s *Source) checkNames(v *hujson.Value, t reflect.Type, at *place, problems *Problems) {
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
			s.checkNames(&node.Elements[i], t.Elem(), &place{parent: at, index: i}, problems)
		}
	}
}

func (s *Source) checkObject(object *hujson.Object, t reflect.Type, at *place, problems *Problems) {
	seen := make(map[string]bool, len(object.Members))
	fields := fieldTypes(t)
	for i := range object.Members {
		member := &object.Members[i]
		name := memberName(member.Name.Value.(hujson.Literal))
		here := &place{parent: at, name: name}
		if seen[name] {
			*problems = append(*problems, s.Problem(here.pointer(), "name %q stands twice in one object", name))
			continue
		}
		seen[name] = true
		switch {
		case t.Kind() == reflect.Map:
			s.checkNames(&member.Value, t.Elem(), here, problems)
		case t.Kind() != reflect.Struct:
			return
		case fields[name] == nil:
			*problems = append(*problems, s.Problem(here.pointer(), "unknown field %q, expected one of %s", name, strings.Join(sortedNames(fields), ", ")))
		default:
			s.checkNames(&member.Value, fields[name], here, problems)
		}
	}
}

// memberName returns a name without its quotes; only names with escapes
// need decoding.
func memberName(literal hujson.Literal) string {
	if bytes.IndexByte(literal, '\\') >= 0 {
		return literal.String()
	}
	return string(literal[1 : len(literal)-1])
}

// escape writes a member name as one JSON pointer token (RFC 6901).
func escape(name string) string {
	return strings.ReplaceAll(strings.ReplaceAll(name, "~", "~0"), "/", "~1")
}

// knownFields caches fieldTypes by type.
var knownFields sync.Map

// fieldTypes returns the types of a struct's fields by their JSON names.
func fieldTypes(t reflect.Type) map[string]reflect.Type {
	if known, ok := knownFields.Load(t); ok {
		return known.(map[string]reflect.Type)
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
	knownFields.Store(t, fields)
	return fields
}

func sortedNames(fields map[string]reflect.Type) []string {
	names := make([]string, 0, len(fields))
	for name := range fields {
		names = append(names, name)
	}
	sort.Strings(names)
	return names
}
