// Package settings loads the settings files of the programs. They are JSON
// with comments; unknown fields and invalid values are rejected.
package settings

import (
	"errors"
	"fmt"
	"os"
	"strings"

	"github.com/go-playground/validator/v10"

	"arbutusward.example/arbutusward/internal/jsonc"
)

// Load reads, decodes and validates a settings file. If the content is
// invalid the error is a jsonc.Problems; if the file can't be read it wraps
// the error of package os.
func Load[T any](path string) (*T, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return nil, fmt.Errorf("read settings: %w", err)
	}
	return Parse[T](path, data)
}

// Parse decodes and validates the content of a settings file.
func Parse[T any](file string, data []byte) (*T, error) {
	source, err := jsonc.Parse(file, data)
	if err != nil {
		return nil, err
	}
	var value T
	if err := source.Decode(&value); err != nil {
		return nil, err
	}
	if err := validate(source, &value); err != nil {
		return nil, err
	}
	return &value, nil
}

// validate checks the value against the "validate" tags of its fields.
func validate(source *jsonc.Source, value any) error {
	v := validator.New(validator.WithRequiredStructEnabled())
	v.RegisterTagNameFunc(jsonName)
	err := v.Struct(value)
	var invalid validator.ValidationErrors
	if !errors.As(err, &invalid) {
		return err
	}
	var problems jsonc.Problems
	for _, field := range invalid {
		problems = append(problems, source.Problem(pointer(field.Namespace()), "found %v, expected %s", field.Value(), expectation(field)))
	}
	return problems.Err()
}

// pointer converts a path of the validator, such as "Entry.listen.callers" or
// "Entry.control[0]", to a JSON pointer.
func pointer(namespace string) string {
	_, rest, _ := strings.Cut(namespace, ".")
	rest = strings.NewReplacer("[", "/", "]", "", ".", "/").Replace(rest)
	return "/" + rest
}

// expectation describes the values that a field accepts.
func expectation(field validator.FieldError) string {
	switch field.Tag() {
	case "required":
		return "a value"
	case "hostname_port":
		return "an address as host:port"
	case "min", "gte":
		return "at least " + field.Param()
	case "max", "lte":
		return "at most " + field.Param()
	case "oneof":
		return "one of " + field.Param()
	}
	return strings.TrimSpace(field.Tag() + " " + field.Param())
}
