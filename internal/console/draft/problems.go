package draft

import (
	"strconv"
	"strings"

	"arbutusward.example/arbutusward/internal/jsonc"
)

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
