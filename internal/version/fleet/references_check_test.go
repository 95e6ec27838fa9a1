package fleet

import (
	"strings"
	"testing"
)

const referencesDocument = `{
  "schema": 1, "deployment": "references",
  "zones": [{"name": "z", "racks": ["r"]}],
  "pools": [{"name": "home"}, {"name": "office", SPARE}],
  "vms": [
    {"name": "h", "count": 2, "pool": "home", "zone": "z", "rack": "r", "cpu_cores": 1, "memory_gib": 1},
    {"name": "o", "count": 2, "pool": "office", "zone": "z", "rack": "r", "cpu_cores": 1, "memory_gib": 1}
  ],
  "services": [
    {"name": "s", "pool": "POOL", "path_prefix": "/s/", "class": "interactive", "deadline_ms": 100, "spill": true, "budget": {"promised_slots": 8}}
  ],
  "waves": [{"name": "w", "pools": ["home", "WAVE"]}],
  "weights": {"buffer": 1, "rollout": 1, "moves": 1}
}`

func TestInvalidReferencesAreReported(t *testing.T) {
	cases := []struct{ spare, pool, wave, problem string }{
		{`"spare": true`, "home", "office", ""},
		{`"spare": false`, "home", "office", "no pool is the spare"},
		{`"spare": true`, "office", "office", "can't spill onto it"},
		{`"spare": true`, "home", "home", `names pool "home" twice`},
	}
	for _, test := range cases {
		text := strings.NewReplacer("SPARE", test.spare, "POOL", test.pool, "WAVE", test.wave).Replace(referencesDocument)
		_, err := Parse("test.jsonc", []byte(text))
		switch {
		case test.problem == "" && err != nil:
			t.Errorf("unexpected problem %v", err)
		case test.problem != "" && (err == nil || !strings.Contains(err.Error(), test.problem)):
			t.Errorf("problem %v, expected %q", err, test.problem)
		}
	}
}
