// Package settings reads the settings files of the programs: JSON with
// comments, unknown fields refused, every value checked.
package settings

import (
	"errors"
	"fmt"
	"os"
	"strings"

	"github.com/go-playground/validator/v10"

	"arbutusward.example/arbutusward/internal/jsonc"
)

// Load reads and checks a settings file. Bad content is returned as
// jsonc.Problems, a file that cannot be read as the os error.
func Load[T any](path string) (*T, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return nil, fmt.Errorf("read settings: %w", err)
	}
	return Parse[T](path, data)
}

// Parse decodes and checks settings that were read already.
func Parse[T any](file string, data []byte) (*T, error) {
	source, err := jsonc.Parse(file, data)
	if err != nil {
		return nil, err
	}
	var value T
	if err := source.Decode(&value); err != nil {
		return nil, err
	}
	if err := check(source, &value); err != nil {
		return nil, err
	}
	return &value, nil
}

// check runs the "validate" tags of the value's fields.
func check(source *jsonc.Source, value any) error {
	checker := validator.New(validator.WithRequiredStructEnabled())
	checker.RegisterTagNameFunc(jsonName)
	err := checker.Struct(value)
	var faults validator.ValidationErrors
	if !errors.As(err, &faults) {
		return err
	}
	var problems jsonc.Problems
	for _, fault := range faults {
		problems = append(problems, source.Problem(pointer(fault.Namespace()), "found %v, expected %s", fault.Value(), expectation(fault)))
	}
	return problems.Err()
}

// pointer turns "Entry.listen.callers" or "Entry.control[0]" into a JSON pointer.
func pointer(namespace string) string {
	_, rest, _ := strings.Cut(namespace, ".")
	rest = strings.NewReplacer("[", "/", "]", "", ".", "/").Replace(rest)
	return "/" + rest
}

func expectation(fault validator.FieldError) string {
	switch fault.Tag() {
	case "required":
		return "a value"
	case "hostname_port":
		return "an address as host:port"
	case "min", "gte":
		return "at least " + fault.Param()
	case "max", "lte":
		return "at most " + fault.Param()
	case "oneof":
		return "one of " + fault.Param()
	}
	return strings.TrimSpace(fault.Tag() + " " + fault.Param())
}
