package settings

import (
	"os"
	"reflect"
	"strings"
	"testing"
)

// TestEverySettingIsInTheReference checks that docs/SETTINGS.md describes each
// setting in the section of its program.
func TestEverySettingIsInTheReference(t *testing.T) {
	text, err := os.ReadFile("../../../docs/SETTINGS.md")
	if err != nil {
		t.Fatal(err)
	}
	for program, value := range map[string]any{
		"arbutus-entry": Entry{}, "arbutus-control": Control{}, "arbutus-console": Console{}, "arbutusctl": CLI{},
	} {
		_, section, found := strings.Cut(string(text), "\n## "+program+"\n")
		section, _, _ = strings.Cut(section, "\n## ")
		if !found {
			t.Errorf("no section %s", program)
		}
		fields := reflect.TypeOf(value)
		for i := range fields.NumField() {
			if name := jsonName(fields.Field(i)); !strings.Contains(section, "| `"+name+"` |") {
				t.Errorf("%s: field %s is not described", program, name)
			}
		}
	}
}
