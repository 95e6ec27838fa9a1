package fleet

import (
	"encoding/json"
	"fmt"
	"reflect"
	"sort"
)

// ChangeKind is the kind of a change to an element of a document.
type ChangeKind string

// Kinds of changes.
const (
	Added   ChangeKind = "added"
	Removed ChangeKind = "removed"
	Changed ChangeKind = "changed"
)

// Change is one difference between two documents.
type Change struct {
	Kind ChangeKind `json:"kind"`
	// Section is the document field that contains the element, such as
	// "pools".
	Section string `json:"section"`
	// Name is the name of the element; "" in a section without named elements.
	Name string `json:"name,omitempty"`
	// Field is the name of the changed field of the element.
	Field string `json:"field,omitempty"`
	// Before and After are the old and new values as JSON.
	Before string `json:"before,omitempty"`
	After  string `json:"after,omitempty"`
}

// String formats the change on one line.
func (c Change) String() string {
	element := c.Section
	if c.Name != "" {
		element += " " + c.Name
	}
	if c.Kind != Changed {
		return fmt.Sprintf("%s %s", c.Kind, element)
	}
	return fmt.Sprintf("%s %s: %s from %s to %s", c.Kind, element, c.Field, orNone(c.Before), orNone(c.After))
}

// orNone returns the value, or "none" if it is empty.
func orNone(value string) string {
	if value == "" {
		return "none"
	}
	return value
}

// Diff returns the changes that turn one document into another, ordered by
// section and then by element name. A nil document is treated as empty.
func Diff(before, after *Document) []Change {
	if before == nil {
		before = &Document{}
	}
	if after == nil {
		after = &Document{}
	}
	var changes []Change
	if before.Deployment != after.Deployment {
		changes = append(changes, Change{Kind: Changed, Section: "deployment", Field: "name", Before: before.Deployment, After: after.Deployment})
	}
	changes = append(changes, diffList("zones", before.Zones, after.Zones, func(z Zone) string { return z.Name })...)
	changes = append(changes, diffList("pools", before.Pools, after.Pools, func(p Pool) string { return p.Name })...)
	changes = append(changes, diffList("vms", before.VMs, after.VMs, func(vm VM) string { return vm.Name })...)
	changes = append(changes, diffList("services", before.Services, after.Services, func(s Service) string { return s.Name })...)
	changes = append(changes, diffList("teams", before.Teams, after.Teams, func(t Team) string { return t.Name })...)
	changes = append(changes, diffList("waves", before.Waves, after.Waves, func(w Wave) string { return w.Name })...)
	return append(changes, diffElement("weights", "", before.Weights, after.Weights)...)
}

// diffList compares two lists of named elements, regardless of their order.
func diffList[T any](section string, before, after []T, name func(T) string) []Change {
	oldElements, newElements := byName(before, name), byName(after, name)
	var changes []Change
	for _, key := range unionOfNames(oldElements, newElements) {
		oldElement, inOld := oldElements[key]
		newElement, inNew := newElements[key]
		switch {
		case !inOld:
			changes = append(changes, Change{Kind: Added, Section: section, Name: key, After: jsonText(newElement)})
		case !inNew:
			changes = append(changes, Change{Kind: Removed, Section: section, Name: key, Before: jsonText(oldElement)})
		case !reflect.DeepEqual(oldElement, newElement):
			changes = append(changes, diffElement(section, key, oldElement, newElement)...)
		}
	}
	return changes
}

func byName[T any](values []T, name func(T) string) map[string]T {
	named := make(map[string]T, len(values))
	for _, value := range values {
		named[name(value)] = value
	}
	return named
}

// unionOfNames returns the sorted names that are in a or in b.
func unionOfNames[T any](a, b map[string]T) []string {
	var names []string
	for name := range a {
		names = append(names, name)
	}
	for name := range b {
		if _, inA := a[name]; !inA {
			names = append(names, name)
		}
	}
	sort.Strings(names)
	return names
}

// diffElement compares the JSON fields of the old and the new element of a
// name.
func diffElement(section, name string, before, after any) []Change {
	oldFields, newFields := jsonFields(before), jsonFields(after)
	var changes []Change
	for _, field := range unionOfNames(oldFields, newFields) {
		if string(oldFields[field]) != string(newFields[field]) {
			changes = append(changes, Change{Kind: Changed, Section: section, Name: name, Field: field,
				Before: string(oldFields[field]), After: string(newFields[field])})
		}
	}
	return changes
}

func jsonText(value any) string {
	text, err := json.Marshal(value)
	if err != nil {
		panic(fmt.Sprintf("fleet element does not marshal: %v", err))
	}
	return string(text)
}

func jsonFields(value any) map[string]json.RawMessage {
	fields := map[string]json.RawMessage{}
	if err := json.Unmarshal([]byte(jsonText(value)), &fields); err != nil {
		panic(fmt.Sprintf("fleet element is no JSON object: %v", err))
	}
	return fields
}
