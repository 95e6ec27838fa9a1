// Package draft is the document that one console session works on. It is
// edited element by element with the values of forms, validated as a whole
// after each change, and ends in exactly one validated document.
package draft

// Kind is the type of a form field.
type Kind string

// Types of form fields.
const (
	Text    Kind = "text"
	Whole   Kind = "whole"
	Decimal Kind = "decimal"
	Choice  Kind = "choice"
	Check   Kind = "check"
	// Words is a list of words in one text field.
	Words Kind = "words"
	// Several is a list of names picked from options.
	Several Kind = "several"
)

// Source says where the options of a field come from.
type Source string

// Sources of options.
const (
	PoolNames Source = "pools"
	ZoneNames Source = "zones"
	RackNames Source = "racks"
	Classes   Source = "classes"
)

// Field is one field of a form.
type Field struct {
	// Path is the JSON pointer below the element, without the first slash.
	Path  string
	Label string
	Hint  string
	Kind  Kind
	// Options names the choices of Choice and Several.
	Options Source
	// NoneWord lets the word "none" stand for an empty list of Words, where
	// leaving the field empty means a default.
	NoneWord bool
	// Group is the legend of the fieldset that the field stands in.
	Group string
}

// Section is one list of the document, or one object in it.
type Section struct {
	// Name is the field of the document.
	Name string
	// Title and Singular are for people.
	Title, Singular string
	// Single marks a section that is one object and no list.
	Single bool
	Fields []Field
	// Columns lists the paths shown in the section's table.
	Columns []string
}

// Sections returns all sections in the order of the pages.
func Sections() []Section { return sections }

// FindSection returns a section by name.
func FindSection(name string) (Section, bool) {
	for _, section := range sections {
		if section.Name == name {
			return section, true
		}
	}
	return Section{}, false
}

// nameHint is the hint for the names of elements.
const nameHint = "1 to 63 lower-case letters, digits and inner hyphens"

// Groups of fields.
const (
	general = "General"
	place   = "Place"
	size    = "Size"
	limits  = "Limits"
	losses  = "Losses to be carried"
	promise = "Availability budget"
	quota   = "Quota"
)

var sections = []Section{
	{Name: "zones", Title: "Availability zones", Singular: "availability zone", Columns: []string{"name", "region", "racks"}, Fields: []Field{
		{Path: "name", Label: "Name", Hint: nameHint, Kind: Text, Group: general},
		{Path: "region", Label: "Region", Hint: "empty means default", Kind: Text, Group: general},
		{Path: "racks", Label: "Racks", Hint: "names with spaces between them", Kind: Words, Group: general},
	}},
	{Name: "pools", Title: "Pools", Singular: "pool", Columns: []string{"name", "spare", "tolerate/racks", "tolerate/vms", "min_dwell_s"}, Fields: []Field{
		{Path: "name", Label: "Name", Hint: nameHint, Kind: Text, Group: general},
		{Path: "spare", Label: "Spare pool: its free slots take the bursts of others", Kind: Check, Group: general},
		{Path: "min_dwell_s", Label: "Shortest stay of a VM, in seconds", Hint: "empty means 600", Kind: Whole, Group: general},
		{Path: "tolerate/racks", Label: "Racks lost at once", Kind: Whole, Group: losses},
		{Path: "tolerate/vms", Label: "Further VMs lost", Hint: "such as one right after a repair", Kind: Whole, Group: losses},
	}},
	{Name: "vms", Title: "VMs", Singular: "VM", Columns: []string{"name", "pool", "zone", "rack", "cpu_cores", "memory_gib", "slots"}, Fields: []Field{
		{Path: "name", Label: "Name", Hint: nameHint, Kind: Text, Group: general},
		{Path: "count", Label: "Number of VMs", Hint: "above 1, the VMs are called NAME-1, NAME-2 and so on", Kind: Whole, Group: general},
		{Path: "pool", Label: "Pool", Kind: Choice, Options: PoolNames, Group: place},
		{Path: "zone", Label: "Availability zone", Kind: Choice, Options: ZoneNames, Group: place},
		{Path: "rack", Label: "Rack", Kind: Choice, Options: RackNames, Group: place},
		{Path: "cpu_cores", Label: "Processor cores", Kind: Whole, Group: size},
		{Path: "memory_gib", Label: "Memory, in GiB", Kind: Whole, Group: size},
		{Path: "accelerators", Label: "Accelerators", Hint: "empty means none", Kind: Whole, Group: size},
		{Path: "slots", Label: "Requests at once (slots)", Hint: "empty means 8", Kind: Whole, Group: size},
		{Path: "connections", Label: "Connections", Hint: "empty means 64", Kind: Whole, Group: size},
	}},
	{Name: "services", Title: "Services", Singular: "service", Columns: []string{"name", "pool", "path_prefix", "class", "deadline_ms", "budget/promised_slots"}, Fields: []Field{
		{Path: "name", Label: "Name", Hint: nameHint, Kind: Text, Group: general},
		{Path: "pool", Label: "Home pool", Kind: Choice, Options: PoolNames, Group: general},
		{Path: "path_prefix", Label: "Path prefix", Hint: "requests with this prefix belong to the service, such as /booking/", Kind: Text, Group: general},
		{Path: "class", Label: "Class", Hint: "interactive requests go before batch requests", Kind: Choice, Options: Classes, Group: general},
		{Path: "spill", Label: "Bursts may use free slots of the spare pool", Kind: Check, Group: general},
		{Path: "echoes_request_id", Label: "Targets return the X-Request-Id that they got", Kind: Check, Group: general},
		{Path: "idempotent_methods", Label: "Methods that may run more than once", Hint: "with spaces between them, or none; empty means GET HEAD OPTIONS PUT DELETE", Kind: Words, NoneWord: true, Group: general},
		{Path: "budget/promised_slots", Label: "Promised slots", Hint: "slots of the home pool that must be able to serve at any time", Kind: Whole, Group: promise},
		{Path: "deadline_ms", Label: "Deadline, in ms", Kind: Whole, Group: limits},
		{Path: "queue_limit", Label: "Requests waiting in one entry", Hint: "empty means 64", Kind: Whole, Group: limits},
		{Path: "max_request_bytes", Label: "Largest request, in bytes", Hint: "empty means 1048576", Kind: Whole, Group: limits},
		{Path: "max_response_bytes", Label: "Largest response, in bytes", Hint: "empty means 8388608", Kind: Whole, Group: limits},
	}},
	{Name: "teams", Title: "Teams", Singular: "team", Columns: []string{"name", "quota/cpu_cores", "quota/memory_gib", "quota/accelerators"}, Fields: []Field{
		{Path: "name", Label: "Name", Hint: nameHint, Kind: Text, Group: general},
		{Path: "quota/cpu_cores", Label: "Processor cores", Kind: Decimal, Group: quota},
		{Path: "quota/memory_gib", Label: "Memory, in GiB", Kind: Decimal, Group: quota},
		{Path: "quota/accelerators", Label: "Accelerators", Hint: "empty means none", Kind: Whole, Group: quota},
	}},
	{Name: "waves", Title: "Maintenance waves", Singular: "maintenance wave", Columns: []string{"name", "pools", "max_parallel", "settle_s", "drain_s"}, Fields: []Field{
		{Path: "name", Label: "Name", Hint: nameHint, Kind: Text, Group: general},
		{Path: "pools", Label: "Pools", Kind: Several, Options: PoolNames, Group: "Pools"},
		{Path: "max_parallel", Label: "VMs out at once", Hint: "empty means as many as the budgets allow", Kind: Whole, Group: limits},
		{Path: "settle_s", Label: "Healthy time after a reboot before a VM counts, in seconds", Hint: "empty means 10", Kind: Whole, Group: limits},
		{Path: "drain_s", Label: "Time after which a drain is reported late, in seconds", Hint: "empty means 60; a late drain is never forced", Kind: Whole, Group: limits},
	}},
	{Name: "weights", Title: "Weights", Singular: "weights", Single: true, Fields: []Field{
		{Path: "buffer", Label: "Buffer: an idle VM held for one hour", Kind: Decimal, Group: "Weights of the measures"},
		{Path: "rollout", Label: "Roll-out: one hour of roll-out time", Kind: Decimal, Group: "Weights of the measures"},
		{Path: "moves", Label: "Moves: one VM or job moved", Kind: Decimal, Group: "Weights of the measures"},
	}},
}
