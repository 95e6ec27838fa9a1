package draft

import (
	"net/url"
	"strings"

	"arbutusward.example/arbutusward/internal/version/fleet"
)

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
