package adminhttp

import (
	"io/fs"
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"testing"
)

// metricPattern matches the names of metrics in string literals.
var metricPattern = regexp.MustCompile("[\"`](arbutus_[a-z_]+)")

// TestEveryMetricIsInTheReference checks that docs/METRICS.md describes each
// metric in the source code.
func TestEveryMetricIsInTheReference(t *testing.T) {
	reference, err := os.ReadFile("../../../docs/METRICS.md")
	if err != nil {
		t.Fatal(err)
	}
	err = filepath.WalkDir("../..", func(path string, entry fs.DirEntry, err error) error {
		if err != nil || entry.IsDir() || !strings.HasSuffix(path, ".go") || strings.HasSuffix(path, "_test.go") {
			return err
		}
		source, err := os.ReadFile(path)
		if err != nil {
			return err
		}
		for _, found := range metricPattern.FindAllSubmatch(source, -1) {
			if name := "`" + string(found[1]); !strings.Contains(string(reference), name+"`") && !strings.Contains(string(reference), name+"{") {
				t.Errorf("%s: metric %s is not described", path, found[1])
			}
		}
		return nil
	})
	if err != nil {
		t.Fatal(err)
	}
}
