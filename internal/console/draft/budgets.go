package draft

import "net/url"

// Budget is the number of slots promised to one service.
type Budget struct {
	Service, Pool, Promised string
}

// budgetPath is the path of the field that holds a service's promised slots.
const budgetPath = "budget/promised_slots"

// Budgets returns the budgets of all services.
func (d *Draft) Budgets() []Budget {
	var budgets []Budget
	for _, e := range d.elements("services") {
		budgets = append(budgets, Budget{Service: e.name(), Pool: formatValue(e.get("pool")), Promised: formatValue(e.get(budgetPath))})
	}
	return budgets
}

// PutBudgets stores the promised slots by service name. If one value is invalid,
// it stores none and returns the problems by service name.
func (d *Draft) PutBudgets(promised map[string]string) (FieldProblems, error) {
	if d.final != nil {
		return nil, ErrFinished
	}
	problems := FieldProblems{}
	before := d.elements("services")
	after := make([]element, 0, len(before))
	for _, e := range before {
		changed := e.clone()
		if text, given := promised[e.name()]; given {
			value, message := Field{Path: budgetPath, Kind: Integer}.parse(url.Values{budgetPath: {text}})
			if message != "" {
				problems[e.name()] = message
			}
			changed.set(budgetPath, value)
		}
		after = append(after, changed)
	}
	if len(problems) > 0 {
		return problems, nil
	}
	return d.applyBudgets(before, after)
}

// applyBudgets stores the services with their new budgets. If a budget is invalid,
// it restores the previous services and returns the problems by service name.
func (d *Draft) applyBudgets(before, after []element) (FieldProblems, error) {
	d.setElements("services", after)
	if err := d.validate(); err != nil {
		return nil, err
	}
	problems := FieldProblems{}
	for _, problem := range d.Problems() {
		if problem.Section == "services" && problem.Field == budgetPath {
			problems[problem.Name] = problem.Message
		}
	}
	if len(problems) == 0 {
		return nil, nil
	}
	d.setElements("services", before)
	return problems, d.validate()
}
