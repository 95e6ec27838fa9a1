package draft

import (
	"encoding/json"
	"fmt"
	"math"
	"net/url"
	"slices"
	"strconv"
	"strings"
)

// noneWord is what a form shows for an empty list if an empty field means the
// default.
const noneWord = "none"

// element is one JSON object of the document.
type element map[string]any

// get returns the value at a path, or nil if there is none.
func (e element) get(path string) any {
	var value any = map[string]any(e)
	for _, name := range strings.Split(path, "/") {
		object, ok := value.(map[string]any)
		if !ok {
			return nil
		}
		value = object[name]
	}
	return value
}

// set stores a value at a path and creates the objects on the way. A nil value
// removes what is stored at the path.
func (e element) set(path string, value any) {
	names := strings.Split(path, "/")
	object := map[string]any(e)
	for _, name := range names[:len(names)-1] {
		next, ok := object[name].(map[string]any)
		if !ok {
			next = map[string]any{}
			object[name] = next
		}
		object = next
	}
	last := names[len(names)-1]
	if value == nil {
		delete(object, last)
		return
	}
	object[last] = value
}

// name returns the element's name, or "" if it has none.
func (e element) name() string {
	name, _ := e.get("name").(string)
	return name
}

// clone returns a deep copy of the element.
func (e element) clone() element {
	return element(cloneValue(map[string]any(e)).(map[string]any))
}

// cloneValue returns a deep copy of a decoded JSON value.
func cloneValue(value any) any {
	switch v := value.(type) {
	case map[string]any:
		copied := make(map[string]any, len(v))
		for name, member := range v {
			copied[name] = cloneValue(member)
		}
		return copied
	case []any:
		copied := make([]any, 0, len(v))
		for _, item := range v {
			copied = append(copied, cloneValue(item))
		}
		return copied
	}
	return value
}

// formatValue formats a JSON value for a form or a table.
func formatValue(value any) string {
	switch v := value.(type) {
	case nil:
		return ""
	case string:
		return v
	case json.Number:
		return v.String()
	case bool:
		if v {
			return "yes"
		}
		return ""
	case []any:
		words := make([]string, 0, len(v))
		for _, word := range v {
			words = append(words, formatValue(word))
		}
		return strings.Join(words, " ")
	}
	return fmt.Sprint(value)
}

// parse converts the submitted form values of the field to a JSON value, which is
// nil if the field was left empty. The message is "" if the value has the right
// type, and otherwise states what was expected.
func (f Field) parse(values url.Values) (value any, message string) {
	text := strings.TrimSpace(values.Get(f.Path))
	switch f.Kind {
	case Check:
		if text == "" {
			return nil, ""
		}
		return true, ""
	case MultipleChoice:
		return distinctList(values[f.Path]), ""
	case WordList:
		if text == "" {
			return nil, ""
		}
		if f.AllowNone && text == noneWord {
			return []any{}, ""
		}
		return distinctList(strings.FieldsFunc(text, func(r rune) bool { return r == ' ' || r == ',' || r == '\t' })), ""
	case Integer:
		return parseInteger(text)
	case Decimal:
		return parseDecimal(text)
	}
	if text == "" {
		return nil, ""
	}
	return text, ""
}

// distinctList returns the words as a JSON array without duplicates.
func distinctList(words []string) any {
	list := make([]any, 0, len(words))
	for _, word := range words {
		if !slices.Contains(list, any(word)) {
			list = append(list, word)
		}
	}
	return list
}

// parseInteger parses a 32-bit integer; an empty text gives nil.
func parseInteger(text string) (any, string) {
	if text == "" {
		return nil, ""
	}
	number, err := strconv.ParseInt(text, 10, 32)
	if err != nil {
		return nil, fmt.Sprintf("found %q, expected a whole number such as 8", text)
	}
	return json.Number(strconv.FormatInt(number, 10)), ""
}

// parseDecimal parses a finite decimal number; an empty text gives nil.
func parseDecimal(text string) (any, string) {
	if text == "" {
		return nil, ""
	}
	number, err := strconv.ParseFloat(text, 64)
	if err != nil || math.IsInf(number, 0) || math.IsNaN(number) {
		return nil, fmt.Sprintf("found %q, expected a number such as 1.5", text)
	}
	return json.Number(strconv.FormatFloat(number, 'f', -1, 64)), ""
}
