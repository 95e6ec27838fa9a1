package draft

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"net/url"
	"slices"
	"strconv"
	"strings"

	"arbutusward.example/arbutusward/internal/jsonc"
	"arbutusward.example/arbutusward/internal/version/fleet"
)

var (
	// ErrFinished is returned when a draft is changed after Finish.
	ErrFinished = errors.New("the draft is finished and can't be changed; open another draft")
	// ErrUnknownElement is returned when a section has no element of the name given.
	ErrUnknownElement = errors.New("the draft has no element of this name")
)

// Draft is a document that is being edited. It is not safe for concurrent use.
type Draft struct {
	// Base is the version that the draft was opened on; 0 if the deployment has
	// no version yet.
	Base uint64
	// baseDocument is the document of version Base; nil if Base is 0.
	baseDocument *fleet.Document
	// content is the JSON object as edited, valid or not.
	content element
	// document is the validated content; nil while content is not valid, and
	// problems then lists the reasons.
	document *fleet.Document
	problems jsonc.Problems
	// changes are the differences between baseDocument and document.
	changes []fleet.Change
	// final is the text that Finish encoded; nil before Finish.
	final []byte
}

// emptyContent is the initial content for a deployment without a document.
const emptyContent = `{"schema": 1, "deployment": "", "zones": [], "pools": [], "vms": [], "services": [],
"teams": [], "waves": [], "weights": {"buffer": 1, "rollout": 1, "moves": 1}}`

// New opens a draft on version base with its document; a nil document gives an
// empty draft.
func New(base uint64, document *fleet.Document) (*Draft, error) {
	text := []byte(emptyContent)
	if document != nil {
		var err error
		if text, err = fleet.EncodeExpanded(document); err != nil {
			return nil, err
		}
	}
	d := &Draft{Base: base, baseDocument: document}
	decoder := json.NewDecoder(bytes.NewReader(text))
	decoder.UseNumber()
	if err := decoder.Decode(&d.content); err != nil {
		return nil, fmt.Errorf("open draft: %w", err)
	}
	return d, d.validate()
}

// validate parses the whole content and updates document, problems and changes.
func (d *Draft) validate() error {
	text, err := json.Marshal(d.content)
	if err != nil {
		return fmt.Errorf("encode draft: %w", err)
	}
	d.problems, d.changes = nil, nil
	d.document, err = fleet.Parse("draft", text)
	if err != nil && !errors.As(err, &d.problems) {
		return err
	}
	if d.document != nil {
		d.changes = fleet.Diff(d.baseDocument, d.document)
	}
	return nil
}

// Document returns the validated document, or nil while the content is not valid.
func (d *Draft) Document() *fleet.Document { return d.document }

// BaseDocument returns the document that the draft was opened on, or nil if
// there was none.
func (d *Draft) BaseDocument() *fleet.Document { return d.baseDocument }

// Changes returns the differences from the base document; none while the
// content is not valid.
func (d *Draft) Changes() []fleet.Change { return d.changes }

// Finish encodes the validated document and closes the draft for changes. It
// returns the same text when it is called again, and the problems as an error
// if the content is not valid.
func (d *Draft) Finish() ([]byte, error) {
	if d.final != nil {
		return d.final, nil
	}
	if d.document == nil {
		return nil, d.problems
	}
	text, err := fleet.Encode(d.document)
	if err != nil {
		return nil, err
	}
	reparsed, err := fleet.Parse("draft", text)
	if err != nil {
		return nil, err
	}
	if reparsed.Digest() != d.document.Digest() {
		return nil, errors.New("the encoded document differs from the draft")
	}
	d.final = text
	return text, nil
}

// Final returns the text of the finished document, or nil before Finish.
func (d *Draft) Final() []byte { return d.final }

// Deployment returns the name of the deployment.
func (d *Draft) Deployment() string { return formatValue(d.content.get("deployment")) }

// SetDeployment sets the name of the deployment.
func (d *Draft) SetDeployment(name string) error {
	if d.final != nil {
		return ErrFinished
	}
	d.content["deployment"] = strings.TrimSpace(name)
	return d.validate()
}

// elements returns the elements of a section, in order.
func (d *Draft) elements(section string) []element {
	values, _ := d.content[section].([]any)
	elements := make([]element, 0, len(values))
	for _, value := range values {
		object, _ := value.(map[string]any)
		elements = append(elements, object)
	}
	return elements
}

// setElements replaces the elements of a section.
func (d *Draft) setElements(section string, elements []element) {
	values := make([]any, 0, len(elements))
	for _, e := range elements {
		values = append(values, map[string]any(e))
	}
	d.content[section] = values
}

// indexByName returns the index of the element with the name, or -1.
func indexByName(elements []element, name string) int {
	return slices.IndexFunc(elements, func(e element) bool { return e.name() == name })
}

// Names returns the names of a section's elements.
func (d *Draft) Names(section string) []string {
	var names []string
	for _, e := range d.elements(section) {
		names = append(names, e.name())
	}
	return names
}

// Options returns the values that a field with the option source may take.
func (d *Draft) Options(source OptionSource) []string {
	switch source {
	case Classes:
		return []string{string(fleet.Interactive), string(fleet.Batch)}
	case RackNames:
		var racks []string
		for _, zone := range d.elements("zones") {
			racks = append(racks, strings.Fields(formatValue(zone.get("racks")))...)
		}
		return racks
	}
	return d.Names(string(source))
}

// Row is one element as a row of its section's table.
type Row struct {
	Name  string
	Cells []string
}

// Rows returns a table row for each element of the section that has the search
// text in one of its cells.
func (d *Draft) Rows(section Section, search string) []Row {
	var rows []Row
	for _, e := range d.elements(section.Name) {
		row := Row{Name: e.name()}
		matches := search == ""
		for _, path := range section.Columns {
			cell := formatValue(e.get(path))
			matches = matches || strings.Contains(cell, search)
			row.Cells = append(row.Cells, cell)
		}
		if matches {
			rows = append(rows, row)
		}
	}
	return rows
}

// Values returns the form values of the element with the name, or the values of
// an empty form if the name is "".
func (d *Draft) Values(section Section, name string) (url.Values, error) {
	values := url.Values{}
	var e element
	switch {
	case section.Single:
		object, _ := d.content[section.Name].(map[string]any)
		e = object
	case name != "":
		elements := d.elements(section.Name)
		index := indexByName(elements, name)
		if index < 0 {
			return nil, ErrUnknownElement
		}
		e = elements[index]
	}
	for _, field := range section.Fields {
		values[field.Path] = formValues(field, e.get(field.Path))
	}
	return values, nil
}

// formValues returns the value of a field as the strings that its form control
// takes.
func formValues(field Field, value any) []string {
	if list, ok := value.([]any); ok && field.Kind == MultipleChoice {
		var words []string
		for _, word := range list {
			words = append(words, formatValue(word))
		}
		return words
	}
	if list, ok := value.([]any); ok && field.AllowNone && len(list) == 0 {
		return []string{noneWord}
	}
	return []string{formatValue(value)}
}

// Remove deletes an element. Remaining references to the element become problems
// of the draft.
func (d *Draft) Remove(section Section, name string) error {
	if d.final != nil {
		return ErrFinished
	}
	elements := d.elements(section.Name)
	index := indexByName(elements, name)
	if index < 0 {
		return ErrUnknownElement
	}
	d.setElements(section.Name, slices.Delete(elements, index, index+1))
	return d.validate()
}

// Problem is one validation problem of the draft and the form field where it can
// be fixed.
type Problem struct {
	// Section and Name identify the form. Field is the path of the form's field,
	// or "" if the problem belongs to no field.
	Section, Name, Field string
	Message              string
}

// Problems returns the reasons why the content is not valid.
func (d *Draft) Problems() []Problem {
	var problems []Problem
	for _, problem := range d.problems {
		problems = append(problems, d.locateProblem(problem))
	}
	return problems
}

// locateProblem maps the JSON pointer of a problem to a form and its field.
func (d *Draft) locateProblem(problem jsonc.Problem) Problem {
	located := Problem{Message: problem.Message}
	parts := strings.SplitN(strings.TrimPrefix(problem.Path, "/"), "/", 3)
	located.Section = parts[0]
	section, known := FindSection(parts[0])
	if !known {
		return located
	}
	rest := strings.Join(parts[1:], "/")
	if !section.Single && len(parts) > 1 {
		located.Name = d.elementNameAt(section, parts[1])
		rest = strings.Join(parts[2:], "/")
	}
	located.Field = section.fieldPathOf(rest)
	return located
}

// elementNameAt returns the name of the element at an index taken from a JSON
// pointer, or "" if there is no such element.
func (d *Draft) elementNameAt(section Section, token string) string {
	elements := d.elements(section.Name)
	index, err := strconv.Atoi(token)
	if err != nil || index < 0 || index >= len(elements) {
		return ""
	}
	return elements[index].name()
}

// fieldPathOf returns the path of the field that contains the pointer, which is
// relative to the element, or "" if no field does.
func (s Section) fieldPathOf(pointer string) string {
	for _, field := range s.Fields {
		if pointer == field.Path || strings.HasPrefix(pointer, field.Path+"/") {
			return field.Path
		}
	}
	return ""
}
