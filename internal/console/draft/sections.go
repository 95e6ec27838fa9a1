// Package draft holds the document that one console session edits. The forms
// change it element by element, each change validates the whole document, and
// Finish turns the draft into one validated document.
package draft

// FieldKind is the type of a form field.
type FieldKind string

// Types of form fields.
const (
	Text    FieldKind = "text"
	Integer FieldKind = "whole"
	Decimal FieldKind = "decimal"
	Choice  FieldKind = "choice"
	Check   FieldKind = "check"
	// WordList is a list of words in one text field.
	WordList FieldKind = "words"
	// MultipleChoice is a list of names selected from options.
	MultipleChoice FieldKind = "several"
)

// OptionSource is the origin of a field's options: a section whose element names
// are offered, or a fixed list.
type OptionSource string

// Sources of options. RackNames are the racks of all zones.
const (
	PoolNames OptionSource = "pools"
	ZoneNames OptionSource = "zones"
	RackNames OptionSource = "racks"
	Classes   OptionSource = "classes"
)

// Field is one field of a form.
type Field struct {
	// Path is the JSON pointer below the element, without the first slash.
	Path  string
	Label string
	Hint  string
	Kind  FieldKind
	// Options is the source of the values for Choice and MultipleChoice.
	Options OptionSource
	// AllowNone makes the word "none" mean an empty WordList. It is needed if an
	// empty field means the default.
	AllowNone bool
	// Group is the legend of the fieldset that contains the field.
	Group string
}

// Section is a top-level list or object of the document.
type Section struct {
	// Name is the name of the document's field.
	Name string
	// Title and Singular are the names that pages show.
	Title, Singular string
	// Single is true if the section is one object instead of a list.
	Single bool
	Fields []Field
	// Columns lists the field paths that the section's table shows.
	Columns []string
}

// Sections returns all sections in the order in which the console shows them.
func Sections() []Section { return sections }

// FindSection returns the section with the name and whether there is one.
func FindSection(name string) (Section, bool) {
	for _, section := range sections {
		if section.Name == name {
			return section, true
		}
	}
	return Section{}, false
}

// nameHint is the hint of each name field.
const nameHint = "1 to 63 lower-case letters, digits and inner hyphens"

// Legends of the field groups.
const (
	groupGeneral = "General"
	groupPlace   = "Place"
	groupSize    = "Size"
	groupLimits  = "Limits"
	groupLosses  = "Losses to be carried"
	groupBudget  = "Availability budget"
	groupQuota   = "Quota"
)

// sections describes the forms and tables of the console.
var sections = []Section{
	{Name: "zones", Title: "Availability zones", Singular: "availability zone", Columns: []string{"name", "region", "racks"}, Fields: []Field{
		{Path: "name", Label: "Name", Hint: nameHint, Kind: Text, Group: groupGeneral},
		{Path: "region", Label: "Region", Hint: "empty means default", Kind: Text, Group: groupGeneral},
		{Path: "racks", Label: "Racks", Hint: "names with spaces between them", Kind: WordList, Group: groupGeneral},
	}},
	{Name: "pools", Title: "Pools", Singular: "pool", Columns: []string{"name", "spare", "tolerate/racks", "tolerate/vms", "min_dwell_s"}, Fields: []Field{
		{Path: "name", Label: "Name", Hint: nameHint, Kind: Text, Group: groupGeneral},
		{Path: "spare", Label: "Spare pool: its free slots take the bursts of others", Kind: Check, Group: groupGeneral},
		{Path: "min_dwell_s", Label: "Shortest stay of a VM, in seconds", Hint: "empty means 600", Kind: Integer, Group: groupGeneral},
		{Path: "tolerate/racks", Label: "Racks lost at once", Kind: Integer, Group: groupLosses},
		{Path: "tolerate/vms", Label: "Further VMs lost", Hint: "such as one right after a repair", Kind: Integer, Group: groupLosses},
	}},
	{Name: "vms", Title: "VMs", Singular: "VM", Columns: []string{"name", "pool", "zone", "rack", "cpu_cores", "memory_gib", "slots"}, Fields: []Field{
		{Path: "name", Label: "Name", Hint: nameHint, Kind: Text, Group: groupGeneral},
		{Path: "count", Label: "Number of VMs", Hint: "above 1, the VMs are called NAME-1, NAME-2 and so on", Kind: Integer, Group: groupGeneral},
		{Path: "pool", Label: "Pool", Kind: Choice, Options: PoolNames, Group: groupPlace},
		{Path: "zone", Label: "Availability zone", Kind: Choice, Options: ZoneNames, Group: groupPlace},
		{Path: "rack", Label: "Rack", Kind: Choice, Options: RackNames, Group: groupPlace},
		{Path: "cpu_cores", Label: "Processor cores", Kind: Integer, Group: groupSize},
		{Path: "memory_gib", Label: "Memory, in GiB", Kind: Integer, Group: groupSize},
		{Path: "accelerators", Label: "Accelerators", Hint: "empty means none", Kind: Integer, Group: groupSize},
		{Path: "slots", Label: "Requests at once (slots)", Hint: "empty means 8", Kind: Integer, Group: groupSize},
		{Path: "connections", Label: "Connections", Hint: "empty means 64", Kind: Integer, Group: groupSize},
	}},
	{Name: "services", Title: "Services", Singular: "service", Columns: []string{"name", "pool", "path_prefix", "class", "deadline_ms", "budget/promised_slots"}, Fields: []Field{
		{Path: "name", Label: "Name", Hint: nameHint, Kind: Text, Group: groupGeneral},
		{Path: "pool", Label: "Home pool", Kind: Choice, Options: PoolNames, Group: groupGeneral},
		{Path: "path_prefix", Label: "Path prefix", Hint: "requests with this prefix belong to the service, such as /booking/", Kind: Text, Group: groupGeneral},
		{Path: "class", Label: "Class", Hint: "interactive requests go before batch requests", Kind: Choice, Options: Classes, Group: groupGeneral},
		{Path: "spill", Label: "Bursts may use free slots of the spare pool", Kind: Check, Group: groupGeneral},
		{Path: "echoes_request_id", Label: "Targets return the X-Request-Id that they got", Kind: Check, Group: groupGeneral},
		{Path: "idempotent_methods", Label: "Methods that may run more than once", Hint: "with spaces between them, or none; empty means GET HEAD OPTIONS PUT DELETE", Kind: WordList, AllowNone: true, Group: groupGeneral},
		{Path: "budget/promised_slots", Label: "Promised slots", Hint: "slots of the home pool that must be able to serve at any time", Kind: Integer, Group: groupBudget},
		{Path: "deadline_ms", Label: "Deadline, in ms", Kind: Integer, Group: groupLimits},
		{Path: "queue_limit", Label: "Requests waiting in one entry", Hint: "empty means 64", Kind: Integer, Group: groupLimits},
		{Path: "max_request_bytes", Label: "Largest request, in bytes", Hint: "empty means 1048576", Kind: Integer, Group: groupLimits},
		{Path: "max_response_bytes", Label: "Largest response, in bytes", Hint: "empty means 8388608", Kind: Integer, Group: groupLimits},
	}},
	{Name: "teams", Title: "Teams", Singular: "team", Columns: []string{"name", "quota/cpu_cores", "quota/memory_gib", "quota/accelerators"}, Fields: []Field{
		{Path: "name", Label: "Name", Hint: nameHint, Kind: Text, Group: groupGeneral},
		{Path: "quota/cpu_cores", Label: "Processor cores", Kind: Decimal, Group: groupQuota},
		{Path: "quota/memory_gib", Label: "Memory, in GiB", Kind: Decimal, Group: groupQuota},
		{Path: "quota/accelerators", Label: "Accelerators", Hint: "empty means none", Kind: Integer, Group: groupQuota},
	}},
	{Name: "waves", Title: "Maintenance waves", Singular: "maintenance wave", Columns: []string{"name", "pools", "max_parallel", "settle_s", "drain_s"}, Fields: []Field{
		{Path: "name", Label: "Name", Hint: nameHint, Kind: Text, Group: groupGeneral},
		{Path: "pools", Label: "Pools", Kind: MultipleChoice, Options: PoolNames, Group: "Pools"},
		{Path: "max_parallel", Label: "VMs out at once", Hint: "empty means as many as the budgets allow", Kind: Integer, Group: groupLimits},
		{Path: "settle_s", Label: "Healthy time after a reboot before a VM counts, in seconds", Hint: "empty means 10", Kind: Integer, Group: groupLimits},
		{Path: "drain_s", Label: "Time after which a drain is reported late, in seconds", Hint: "empty means 60; a late drain is never forced", Kind: Integer, Group: groupLimits},
	}},
	{Name: "weights", Title: "Weights", Singular: "weights", Single: true, Fields: []Field{
		{Path: "buffer", Label: "Buffer: an idle VM held for one hour", Kind: Decimal, Group: "Weights of the measures"},
		{Path: "rollout", Label: "Roll-out: one hour of roll-out time", Kind: Decimal, Group: "Weights of the measures"},
		{Path: "moves", Label: "Moves: one VM or job moved", Kind: Decimal, Group: "Weights of the measures"},
	}},
}
