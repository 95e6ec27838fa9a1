package draft

import (
	"net/url"
	"os"
	"strings"
	"testing"

	"arbutusward.example/arbutusward/internal/version/fleet"
)

// openExample opens a draft on the example document duna.jsonc as version 7.
func openExample(t *testing.T) *Draft {
	t.Helper()
	text, err := os.ReadFile("../../../examples/duna.jsonc")
	if err != nil {
		t.Fatal(err)
	}
	document, err := fleet.Parse("duna.jsonc", text)
	if err != nil {
		t.Fatal(err)
	}
	d, err := New(7, document)
	if err != nil {
		t.Fatal(err)
	}
	return d
}

// findSection returns a section and fails the test if there is none.
func findSection(t *testing.T, name string) Section {
	t.Helper()
	s, known := FindSection(name)
	if !known {
		t.Fatalf("no section %s", name)
	}
	return s
}

// edit submits the form of an element with one field changed.
func edit(t *testing.T, d *Draft, sectionName, element, field, value string) FieldProblems {
	t.Helper()
	s := findSection(t, sectionName)
	values, err := d.Values(s, element)
	if err != nil {
		t.Fatal(err)
	}
	values.Set(field, value)
	problems, err := d.Put(s, element, values)
	if err != nil {
		t.Fatal(err)
	}
	return problems
}

func TestSubmittingUnchangedFormsChangesNothing(t *testing.T) {
	d := openExample(t)
	d.baseDocument.Services[0].IdempotentMethods = []string{}
	d, err := New(7, d.baseDocument)
	if err != nil {
		t.Fatal(err)
	}
	for _, s := range Sections() {
		names := d.Names(s.Name)
		if s.Single {
			names = []string{""}
		}
		for _, name := range names {
			values, err := d.Values(s, name)
			if err != nil {
				t.Fatal(err)
			}
			if problems, err := d.Put(s, name, values); err != nil || len(problems) > 0 {
				t.Fatalf("%s %s: %v %v", s.Name, name, problems, err)
			}
		}
	}
	if changes := d.Changes(); d.Document() == nil || len(changes) > 0 {
		t.Errorf("problems %v, changes %v", d.Problems(), changes)
	}
}

func TestInvalidValueIsReportedAtItsFieldAndNotStored(t *testing.T) {
	d := openExample(t)
	for _, c := range []struct{ section, element, field, value, expected string }{
		{"services", "slot-booking", "deadline_ms", "soon", "whole number"},
		{"services", "slot-booking", "deadline_ms", "0", "expected 1 to"},
		{"services", "slot-booking", "pool", "no-such-pool", "unknown pool"},
		{"pools", "photo", "name", "reports", "another pool"},
		{"vms", "photo-a1-1", "rack", "b1", "expected a rack of zone"},
		{"zones", "duna-a", "name", "Duna A", "lower-case"},
	} {
		problems := edit(t, d, c.section, c.element, c.field, c.value)
		if !strings.Contains(problems[c.field], c.expected) {
			t.Errorf("%s %s=%q: %v, expected %q", c.section, c.field, c.value, problems, c.expected)
		}
	}
	if len(d.Changes()) > 0 || d.Document() == nil {
		t.Errorf("changes %v, problems %v", d.Changes(), d.Problems())
	}
}

func TestProblemInAnotherElementIsListedAndBlocksFinish(t *testing.T) {
	d := openExample(t)
	if err := d.Remove(findSection(t, "pools"), "slots"); err != nil {
		t.Fatal(err)
	}
	problems := d.Problems()
	if len(problems) == 0 || problems[0].Section != "vms" || problems[0].Name != "slots-a3-1" || problems[0].Field != "pool" {
		t.Fatalf("problems %+v", problems)
	}
	if _, err := d.Finish(); err == nil {
		t.Error("a draft with problems was finished")
	}
}

func TestFinishedDraftIsOneValidDocumentAndRefusesChanges(t *testing.T) {
	d := openExample(t)
	if problems, err := d.MoveVM("office-a2", "slots"); err != nil || len(problems) > 0 {
		t.Fatal(problems, err)
	}
	if moves := d.Moves(); len(moves) != 1 || moves[0] != (Move{VM: "office-a2", From: "office", To: "slots"}) {
		t.Errorf("moves %+v", moves)
	}
	text, err := d.Finish()
	if err != nil {
		t.Fatal(err)
	}
	document, err := fleet.Parse("final", text)
	if err != nil || document.Digest() != d.Document().Digest() {
		t.Fatalf("the finished document differs from the draft: %v", err)
	}
	if _, err := d.MoveVM("office-a2", "office"); err != ErrFinished {
		t.Errorf("change after Finish: %v", err)
	}
	if _, err := d.Put(findSection(t, "pools"), "", url.Values{}); err != ErrFinished {
		t.Errorf("change after Finish: %v", err)
	}
}

func TestBudgetsAreStoredAllOrNothing(t *testing.T) {
	d := openExample(t)
	problems, err := d.PutBudgets(map[string]string{"slot-booking": "40", "office-tools": "many"})
	if err != nil || problems["office-tools"] == "" || len(d.Changes()) > 0 {
		t.Fatalf("%v %v %v", problems, err, d.Changes())
	}
	problems, err = d.PutBudgets(map[string]string{"slot-booking": "40", "office-tools": "16"})
	if err != nil || len(problems) > 0 || len(d.Changes()) != 2 {
		t.Fatalf("%v %v %v", problems, err, d.Changes())
	}
}

func TestVMElementWithACountBecomesOneElementPerVM(t *testing.T) {
	d := openExample(t)
	values := url.Values{"name": {"extra"}, "count": {"3"}, "pool": {"office"}, "zone": {"duna-a"}, "rack": {"a1"}, "cpu_cores": {"4"}, "memory_gib": {"8"}}
	if problems, err := d.Put(findSection(t, "vms"), "", values); err != nil || len(problems) > 0 {
		t.Fatal(problems, err)
	}
	if changes := d.Changes(); len(changes) != 3 || changes[2].Name != "extra-3" {
		t.Errorf("changes %v", changes)
	}
}

func TestFormsCanBuildTheFirstDocument(t *testing.T) {
	d, err := New(0, nil)
	if err != nil {
		t.Fatal(err)
	}
	if err := d.SetDeployment("fresh"); err != nil {
		t.Fatal(err)
	}
	for _, step := range []struct {
		section string
		values  url.Values
	}{
		{"zones", url.Values{"name": {"z"}, "racks": {"r1, r2"}}},
		{"pools", url.Values{"name": {"p"}, "tolerate/vms": {"1"}}},
		{"vms", url.Values{"name": {"v"}, "count": {"3"}, "pool": {"p"}, "zone": {"z"}, "rack": {"r1"}, "cpu_cores": {"4"}, "memory_gib": {"8"}}},
		{"services", url.Values{"name": {"s"}, "pool": {"p"}, "path_prefix": {"/"}, "class": {"interactive"}, "deadline_ms": {"900"}, "budget/promised_slots": {"16"}}},
	} {
		if problems, err := d.Put(findSection(t, step.section), "", step.values); err != nil || len(problems) > 0 {
			t.Fatal(step.section, problems, err)
		}
	}
	if _, err := d.Finish(); err != nil {
		t.Fatalf("%v %+v", err, d.Problems())
	}
}
