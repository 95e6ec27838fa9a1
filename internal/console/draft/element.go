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

// noneWord stands for an empty list where an empty field means a default.
const noneWord = "none"

// element is one JSON object of the document.
type element map[string]any

// get returns the value at a path, nil if there is none.
func (e element) get(path string) any {
	var value any = map[string]any(e)
	for _, name := range strings.Split(path, "/") {
		object, is := value.(map[string]any)
		if !is {
			return nil
		}
		value = object[name]
	}
	return value
}

// set stores a value at a path; nil removes it.
func (e element) set(path string, value any) {
	names := strings.Split(path, "/")
	object := map[string]any(e)
	for _, name := range names[:len(names)-1] {
		next, is := object[name].(map[string]any)
		if !is {
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

// name returns the element's name, "" if it has none.
func (e element) name() string {
	name, _ := e.get("name").(string)
	return name
}

// clone copies the element with all that is below it.
func (e element) clone() element {
	return element(cloneValue(map[string]any(e)).(map[string]any))
}

func cloneValue(value any) any {
	switch v := value.(type) {
	case map[string]any:
		copied := make(map[string]any, len(v))
		for name, below := range v {
			copied[name] = cloneValue(below)
		}
		return copied
	case []any:
		copied := make([]any, 0, len(v))
		for _, below := range v {
			copied = append(copied, cloneValue(below))
		}
		return copied
	}
	return value
}

// format writes a value as a form or a table shows it.
func format(value any) string {
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
			words = append(words, format(word))
		}
		return strings.Join(words, " ")
	}
	return fmt.Sprint(value)
}

// read turns the form's values of a field into a JSON value; nil if the
// field was left empty. The message is "" if the value has the right type.
func (f Field) read(values url.Values) (value any, message string) {
	text := strings.TrimSpace(values.Get(f.Path))
	switch f.Kind {
	case Check:
		if text == "" {
			return nil, ""
		}
		return true, ""
	case Several:
		return listOf(values[f.Path]), ""
	case Words:
		if text == "" {
			return nil, ""
		}
		if f.NoneWord && text == noneWord {
			return []any{}, ""
		}
		return listOf(strings.FieldsFunc(text, func(r rune) bool { return r == ' ' || r == ',' || r == '\t' })), ""
	case Whole:
		return readWhole(text)
	case Decimal:
		return readDecimal(text)
	}
	if text == "" {
		return nil, ""
	}
	return text, ""
}

func listOf(words []string) any {
	list := make([]any, 0, len(words))
	for _, word := range words {
		if !slices.Contains(list, any(word)) {
			list = append(list, word)
		}
	}
	return list
}

func readWhole(text string) (any, string) {
	if text == "" {
		return nil, ""
	}
	number, err := strconv.ParseInt(text, 10, 32)
	if err != nil {
		return nil, fmt.Sprintf("found %q, expected a whole number such as 8", text)
	}
	return json.Number(strconv.FormatInt(number, 10)), ""
}

func readDecimal(text string) (any, string) {
	if text == "" {
		return nil, ""
	}
	number, err := strconv.ParseFloat(text, 64)
	if err != nil || math.IsInf(number, 0) || math.IsNaN(number) {
		return nil, fmt.Sprintf("found %q, expected a number such as 1.5", text)
	}
	return json.Number(strconv.FormatFloat(number, 'f', -1, 64)), ""
}
