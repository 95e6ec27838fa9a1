package draft

import (
	"encoding/json"
	"fmt"
	"net/url"
	"slices"
	"strconv"

	"arbutusward.example/arbutusward/internal/version/fleet"
)

// FieldProblems maps each invalid field to a message that states what was found and
// what was expected. The keys are field paths; for PutBudgets they are service names.
type FieldProblems map[string]string

// Put stores the values of a form. It adds a new element if the name is "", and
// otherwise replaces the element with that name. If a field of the element itself
// is invalid, Put returns its problems and stores nothing. A change that makes
// other elements invalid is stored; Problems lists them.
func (d *Draft) Put(section Section, name string, values url.Values) (FieldProblems, error) {
	if d.final != nil {
		return nil, ErrFinished
	}
	if section.Single {
		return d.putSingle(section, values)
	}
	before := d.elements(section.Name)
	index := indexByName(before, name)
	if name != "" && index < 0 {
		return nil, ErrUnknownElement
	}
	e := element{}
	if name != "" {
		e = before[index].clone()
	}
	problems := e.setFields(section, values)
	if other := indexByName(before, e.name()); other >= 0 && other != index && e.name() != "" {
		problems["name"] = fmt.Sprintf("the draft has another %s called %q", section.Singular, e.name())
	}
	if len(problems) > 0 {
		return problems, nil
	}
	if index < 0 {
		index = len(before)
	}
	after := replaceAt(before, index, expandCount(section, e))
	return d.applyElements(section, before, after, index)
}

// setFields parses the form values and stores them in the element. It returns the
// problems of the values that can't be parsed.
func (e element) setFields(section Section, values url.Values) FieldProblems {
	problems := FieldProblems{}
	for _, field := range section.Fields {
		value, message := field.parse(values)
		if message != "" {
			problems[field.Path] = message
			continue
		}
		e.set(field.Path, value)
	}
	return problems
}

// replaceAt returns a copy of the elements in which the element at the index is
// replaced. An index equal to the length appends the replacement.
func replaceAt(elements []element, index int, replacement []element) []element {
	after := slices.Clone(elements[:index])
	after = append(after, replacement...)
	if index < len(elements) {
		after = append(after, elements[index+1:]...)
	}
	return after
}

// expandCount splits a VM element with a count above 1 into one element for each
// VM, so that each VM can be moved on its own. Other elements are returned as they
// are.
func expandCount(section Section, e element) []element {
	number, _ := e.get("count").(json.Number)
	count, err := strconv.Atoi(number.String())
	if section.Name != "vms" || err != nil || count < 2 || count > fleet.MaxVMs {
		return []element{e}
	}
	var expanded []element
	for i := 1; i <= count; i++ {
		single := e.clone()
		single.set("name", fmt.Sprintf("%s-%d", e.name(), i))
		single.set("count", nil)
		expanded = append(expanded, single)
	}
	return expanded
}

// applyElements stores the new elements of a section. If the element at the index
// has invalid fields, it restores the previous elements and returns the problems.
func (d *Draft) applyElements(section Section, before, after []element, index int) (FieldProblems, error) {
	d.setElements(section.Name, after)
	if err := d.validate(); err != nil {
		return nil, err
	}
	problems := d.fieldProblems(section, fmt.Sprintf("/%s/%d/", section.Name, index))
	if len(problems) == 0 {
		return nil, nil
	}
	d.setElements(section.Name, before)
	return problems, d.validate()
}

// putSingle stores the form values of a section that is one object. A problem of
// the object as a whole is returned for the section's first field.
func (d *Draft) putSingle(section Section, values url.Values) (FieldProblems, error) {
	object, _ := d.content[section.Name].(map[string]any)
	before := element(object)
	after := before.clone()
	if problems := after.setFields(section, values); len(problems) > 0 {
		return problems, nil
	}
	d.content[section.Name] = map[string]any(after)
	if err := d.validate(); err != nil {
		return nil, err
	}
	for _, problem := range d.problems {
		if problem.Path == "/"+section.Name {
			d.content[section.Name] = map[string]any(before)
			return FieldProblems{section.Fields[0].Path: problem.Message}, d.validate()
		}
	}
	return nil, nil
}

// fieldProblems returns the problems of the fields whose pointer has the prefix.
func (d *Draft) fieldProblems(section Section, prefix string) FieldProblems {
	problems := FieldProblems{}
	for _, problem := range d.problems {
		if len(problem.Path) <= len(prefix) || problem.Path[:len(prefix)] != prefix {
			continue
		}
		if field := section.fieldPathOf(problem.Path[len(prefix):]); field != "" {
			problems[field] = problem.Message
		}
	}
	return problems
}
