package draft

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"slices"
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
