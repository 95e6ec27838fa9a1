package draft

import (
	"encoding/json"
	"fmt"
	"net/url"
	"slices"
	"strconv"

	"arbutusward.example/arbutusward/internal/version/fleet"
)

// FieldProblems maps the path of a field to what is to be mended there.
type FieldProblems map[string]string

// Put stores the values of a form: of a new element if the name is "", or
// else in place of the one of that name. Values that are wrong in
// themselves are returned and nothing is stored. Problems that the change
// makes elsewhere don't hinder it; Problems lists them.
func (d *Draft) Put(section Section, name string, values url.Values) (FieldProblems, error) {
	if d.final != nil {
		return nil, ErrFinished
	}
	if section.Single {
		return d.putSingle(section, values)
	}
	before := d.list(section.Name)
	place := find(before, name)
	if name != "" && place < 0 {
		return nil, ErrUnknownElement
	}
	e := element{}
	if name != "" {
		e = before[place].clone()
	}
	wrong := e.fill(section, values)
	if other := find(before, e.name()); other >= 0 && other != place && e.name() != "" {
		wrong["name"] = fmt.Sprintf("the draft has another %s called %q", section.Singular, e.name())
	}
	if len(wrong) > 0 {
		return wrong, nil
	}
	if place < 0 {
		place = len(before)
	}
	after := splice(before, place, expand(section, e))
	return d.tryList(section, before, after, place)
}

// fill stores the form's values in the element.
func (e element) fill(section Section, values url.Values) FieldProblems {
	wrong := FieldProblems{}
	for _, field := range section.Fields {
		value, message := field.read(values)
		if message != "" {
			wrong[field.Path] = message
			continue
		}
		e.set(field.Path, value)
	}
	return wrong
}

// splice replaces the element at a place, or adds at the end.
func splice(elements []element, place int, by []element) []element {
	after := slices.Clone(elements[:place])
	after = append(after, by...)
	if place < len(elements) {
		after = append(after, elements[place+1:]...)
	}
	return after
}

// expand makes one element for each VM of a counted one, so that each can
// be moved for itself.
func expand(section Section, e element) []element {
	number, _ := e.get("count").(json.Number)
	count, err := strconv.Atoi(number.String())
	if section.Name != "vms" || err != nil || count < 2 || count > fleet.MaxVMs {
		return []element{e}
	}
	var each []element
	for i := 1; i <= count; i++ {
		one := e.clone()
		one.set("name", fmt.Sprintf("%s-%d", e.name(), i))
		one.set("count", nil)
		each = append(each, one)
	}
	return each
}

// tryList keeps the new list unless the element has wrong fields.
func (d *Draft) tryList(section Section, before, after []element, place int) (FieldProblems, error) {
	d.setList(section.Name, after)
	if err := d.validate(); err != nil {
		return nil, err
	}
	wrong := d.fieldProblems(section, fmt.Sprintf("/%s/%d/", section.Name, place))
	if len(wrong) == 0 {
		return nil, nil
	}
	d.setList(section.Name, before)
	return wrong, d.validate()
}

func (d *Draft) putSingle(section Section, values url.Values) (FieldProblems, error) {
	object, _ := d.content[section.Name].(map[string]any)
	before := element(object)
	after := before.clone()
	if wrong := after.fill(section, values); len(wrong) > 0 {
		return wrong, nil
	}
	d.content[section.Name] = map[string]any(after)
	if err := d.validate(); err != nil {
		return nil, err
	}
	for _, problem := range d.problems {
		if problem.Path == "/"+section.Name {
			d.content[section.Name] = map[string]any(before)
			return FieldProblems{section.Fields[0].Path: problem.Message}, d.validate()
		}
	}
	return nil, nil
}

// fieldProblems returns the problems in the fields below a pointer.
func (d *Draft) fieldProblems(section Section, prefix string) FieldProblems {
	wrong := FieldProblems{}
	for _, problem := range d.problems {
		if len(problem.Path) <= len(prefix) || problem.Path[:len(prefix)] != prefix {
			continue
		}
		if field := section.fieldOf(problem.Path[len(prefix):]); field != "" {
			wrong[field] = problem.Message
		}
	}
	return wrong
}

// Budget is the promise of one service.
type Budget struct {
	Service, Pool, Promised string
}

// budgetPath is the field of a service that holds its promise.
const budgetPath = "budget/promised_slots"

// Budgets lists the promises of all services.
func (d *Draft) Budgets() []Budget {
	var budgets []Budget
	for _, e := range d.list("services") {
		budgets = append(budgets, Budget{Service: e.name(), Pool: format(e.get("pool")), Promised: format(e.get(budgetPath))})
	}
	return budgets
}

// PutBudgets stores the promises of services by name, all or none.
func (d *Draft) PutBudgets(promised map[string]string) (FieldProblems, error) {
	if d.final != nil {
		return nil, ErrFinished
	}
	wrong := FieldProblems{}
	before := d.list("services")
	after := make([]element, 0, len(before))
	for _, e := range before {
		changed := e.clone()
		if text, given := promised[e.name()]; given {
			value, message := Field{Path: budgetPath, Kind: Whole}.read(url.Values{budgetPath: {text}})
			if message != "" {
				wrong[e.name()] = message
			}
			changed.set(budgetPath, value)
		}
		after = append(after, changed)
	}
	if len(wrong) > 0 {
		return wrong, nil
	}
	return d.tryBudgets(before, after)
}

func (d *Draft) tryBudgets(before, after []element) (FieldProblems, error) {
	d.setList("services", after)
	if err := d.validate(); err != nil {
		return nil, err
	}
	wrong := FieldProblems{}
	for _, problem := range d.Problems() {
		if problem.Section == "services" && problem.Field == budgetPath {
			wrong[problem.Name] = problem.Message
		}
	}
	if len(wrong) == 0 {
		return nil, nil
	}
	d.setList("services", before)
	return wrong, d.validate()
}

// Move is a VM whose pool differs from the base.
type Move struct {
	VM, From, To string
}

// Moves lists the VMs whose pool differs from the base.
func (d *Draft) Moves() []Move {
	if d.baseDocument == nil {
		return nil
	}
	from := map[string]string{}
	for _, vm := range d.baseDocument.VMs {
		from[vm.Name] = vm.Pool
	}
	var moves []Move
	for _, e := range d.list("vms") {
		pool := format(e.get("pool"))
		if before, known := from[e.name()]; known && before != pool {
			moves = append(moves, Move{VM: e.name(), From: before, To: pool})
		}
	}
	return moves
}

// MoveVM declares another pool for a VM.
func (d *Draft) MoveVM(vm, pool string) (FieldProblems, error) {
	if d.final != nil {
		return nil, ErrFinished
	}
	before := d.list("vms")
	place := find(before, vm)
	if place < 0 {
		return FieldProblems{"vm": fmt.Sprintf("found %q, expected a VM of the draft", vm)}, nil
	}
	if !slices.Contains(d.Names("pools"), pool) {
		return FieldProblems{"pool": fmt.Sprintf("found %q, expected a pool of the draft", pool)}, nil
	}
	moved := before[place].clone()
	moved.set("pool", pool)
	d.setList("vms", splice(before, place, []element{moved}))
	return nil, d.validate()
}

// PoolVMs groups the names of the VMs by pool, in the order of the pools.
type PoolVMs struct {
	Pool string
	VMs  []string
}

// VMsByPool lists the VMs of each pool.
func (d *Draft) VMsByPool() []PoolVMs {
	places := map[string]int{}
	var groups []PoolVMs
	for _, pool := range d.Names("pools") {
		places[pool] = len(groups)
		groups = append(groups, PoolVMs{Pool: pool})
	}
	for _, e := range d.list("vms") {
		if place, known := places[format(e.get("pool"))]; known {
			groups[place].VMs = append(groups[place].VMs, e.name())
		}
	}
	return groups
}
