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

// Errors of a draft.
var (
	// ErrFinished says that the draft has ended in its document.
	ErrFinished = errors.New("the draft has ended in its document and can't be changed; open another draft")
	// ErrUnknownElement says that an element is not in the draft.
	ErrUnknownElement = errors.New("the draft has no element of this name")
)

// Draft is a document in work. It is not safe for concurrent use.
type Draft struct {
	// Base is the version that it was made from; 0 before the first.
	Base uint64
	// baseDocument is nil before the first version.
	baseDocument *fleet.Document
	content      element
	// parsed is the validated content, nil while it does not validate;
	// problems says why.
	parsed   *fleet.Document
	problems jsonc.Problems
	// changes are the differences of parsed from the base.
	changes []fleet.Change
	// final is the one document that the draft ended in, nil before.
	final []byte
}

// emptyContent is the draft of a deployment without a document.
const emptyContent = `{"schema": 1, "deployment": "", "zones": [], "pools": [], "vms": [], "services": [],
"teams": [], "waves": [], "weights": {"buffer": 1, "rollout": 1, "moves": 1}}`

// New opens a draft on a version; a nil document begins from nothing.
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

// validate parses the content as a whole.
func (d *Draft) validate() error {
	text, err := json.Marshal(d.content)
	if err != nil {
		return fmt.Errorf("encode draft: %w", err)
	}
	d.problems, d.changes = nil, nil
	d.parsed, err = fleet.Parse("draft", text)
	if err != nil && !errors.As(err, &d.problems) {
		return err
	}
	if d.parsed != nil {
		d.changes = fleet.Diff(d.baseDocument, d.parsed)
	}
	return nil
}

// Document returns the validated content, nil while it does not validate.
func (d *Draft) Document() *fleet.Document { return d.parsed }

// BaseDocument returns the document that the draft was made from, or nil.
func (d *Draft) BaseDocument() *fleet.Document { return d.baseDocument }

// Changes lists the differences from the base; none while the draft does
// not validate.
func (d *Draft) Changes() []fleet.Change { return d.changes }

// Finish ends the draft in its one document.
func (d *Draft) Finish() ([]byte, error) {
	if d.final != nil {
		return d.final, nil
	}
	if d.parsed == nil {
		return nil, d.problems
	}
	text, err := fleet.Encode(d.parsed)
	if err != nil {
		return nil, err
	}
	again, err := fleet.Parse("draft", text)
	if err != nil {
		return nil, err
	}
	if again.Digest() != d.parsed.Digest() {
		return nil, errors.New("the written document differs from the draft")
	}
	d.final = text
	return text, nil
}

// Final returns the document that the draft ended in, nil before.
func (d *Draft) Final() []byte { return d.final }

// Deployment returns the name of the deployment.
func (d *Draft) Deployment() string { return format(d.content.get("deployment")) }

// SetDeployment names the deployment.
func (d *Draft) SetDeployment(name string) error {
	if d.final != nil {
		return ErrFinished
	}
	d.content["deployment"] = strings.TrimSpace(name)
	return d.validate()
}

// list returns the elements of a section.
func (d *Draft) list(section string) []element {
	values, _ := d.content[section].([]any)
	elements := make([]element, 0, len(values))
	for _, value := range values {
		object, _ := value.(map[string]any)
		elements = append(elements, object)
	}
	return elements
}

func (d *Draft) setList(section string, elements []element) {
	values := make([]any, 0, len(elements))
	for _, e := range elements {
		values = append(values, map[string]any(e))
	}
	d.content[section] = values
}

// find returns the place of an element in its section, or -1.
func find(elements []element, name string) int {
	return slices.IndexFunc(elements, func(e element) bool { return e.name() == name })
}

// Names lists the names of a section's elements.
func (d *Draft) Names(section string) []string {
	var names []string
	for _, e := range d.list(section) {
		names = append(names, e.name())
	}
	return names
}

// Options lists the choices of a field.
func (d *Draft) Options(source Source) []string {
	switch source {
	case Classes:
		return []string{string(fleet.Interactive), string(fleet.Batch)}
	case RackNames:
		var racks []string
		for _, zone := range d.list("zones") {
			racks = append(racks, strings.Fields(format(zone.get("racks")))...)
		}
		return racks
	}
	return d.Names(string(source))
}

// Row is one element in a table.
type Row struct {
	Name  string
	Cells []string
}

// Rows returns the elements of a section as its table shows them, limited
// to those that contain the search text.
func (d *Draft) Rows(section Section, search string) []Row {
	var rows []Row
	for _, e := range d.list(section.Name) {
		row := Row{Name: e.name()}
		found := search == ""
		for _, path := range section.Columns {
			cell := format(e.get(path))
			found = found || strings.Contains(cell, search)
			row.Cells = append(row.Cells, cell)
		}
		if found {
			rows = append(rows, row)
		}
	}
	return rows
}

// Values returns the form values of an element; those of an empty form if
// the name is "".
func (d *Draft) Values(section Section, name string) (url.Values, error) {
	values := url.Values{}
	var e element
	switch {
	case section.Single:
		object, _ := d.content[section.Name].(map[string]any)
		e = object
	case name != "":
		elements := d.list(section.Name)
		place := find(elements, name)
		if place < 0 {
			return nil, ErrUnknownElement
		}
		e = elements[place]
	}
	for _, field := range section.Fields {
		values[field.Path] = formValues(field, e.get(field.Path))
	}
	return values, nil
}

func formValues(field Field, value any) []string {
	if list, is := value.([]any); is && field.Kind == Several {
		var words []string
		for _, word := range list {
			words = append(words, format(word))
		}
		return words
	}
	if list, is := value.([]any); is && field.NoneWord && len(list) == 0 {
		return []string{noneWord}
	}
	return []string{format(value)}
}

// Remove takes an element out. Whatever still names it becomes a problem.
func (d *Draft) Remove(section Section, name string) error {
	if d.final != nil {
		return ErrFinished
	}
	elements := d.list(section.Name)
	place := find(elements, name)
	if place < 0 {
		return ErrUnknownElement
	}
	d.setList(section.Name, slices.Delete(elements, place, place+1))
	return d.validate()
}

// Problem is one problem of the draft with the place of the form that
// mends it.
type Problem struct {
	// Section and Name name the form; Field its field, "" for none.
	Section, Name, Field string
	Message              string
}

// Problems lists what keeps the draft from validating.
func (d *Draft) Problems() []Problem {
	var problems []Problem
	for _, problem := range d.problems {
		problems = append(problems, d.place(problem))
	}
	return problems
}

// place finds the form of a problem from its JSON pointer.
func (d *Draft) place(problem jsonc.Problem) Problem {
	placed := Problem{Message: problem.Message}
	parts := strings.SplitN(strings.TrimPrefix(problem.Path, "/"), "/", 3)
	placed.Section = parts[0]
	section, known := FindSection(parts[0])
	if !known {
		return placed
	}
	rest := strings.Join(parts[1:], "/")
	if !section.Single && len(parts) > 1 {
		placed.Name = d.nameAt(section, parts[1])
		rest = strings.Join(parts[2:], "/")
	}
	placed.Field = section.fieldOf(rest)
	return placed
}

func (d *Draft) nameAt(section Section, index string) string {
	elements := d.list(section.Name)
	place, err := strconv.Atoi(index)
	if err != nil || place < 0 || place >= len(elements) {
		return ""
	}
	return elements[place].name()
}

// fieldOf returns the path of the field that a pointer below an element
// belongs to, "" if none.
func (s Section) fieldOf(pointer string) string {
	for _, field := range s.Fields {
		if pointer == field.Path || strings.HasPrefix(pointer, field.Path+"/") {
			return field.Path
		}
	}
	return ""
}
