package capacity

// Role is the purpose that a VM serves.
type Role string

// Roles of a VM.
const (
	// Needed means that the promised slots or the observed use require the VM.
	Needed Role = "needed"
	// Reserve means that the VM is kept free for losses.
	Reserve Role = "reserve"
	// Surplus means that the VM is required for neither.
	Surplus Role = "surplus"
	// Absent means that the VM provides no capacity at present.
	Absent Role = "absent"
)

// Assignment is the role of one VM and the reason for it.
type Assignment struct {
	VM     string `json:"vm"`
	Pool   string `json:"pool"`
	Role   Role   `json:"role"`
	Reason string `json:"reason"`
}

// PoolReserve is the reserve plan of one pool.
type PoolReserve struct {
	Pool string `json:"pool"`
	// NeededSlots is the larger of the promise and the observed use.
	NeededSlots int `json:"needed_slots"`
	NeededVMs   int `json:"needed_vms"`
	ReserveVMs  int `json:"reserve_vms"`
	SurplusVMs  int `json:"surplus_vms"`
	// Shares is true if the reserve of the spare pool covers this pool.
	Shares bool `json:"shares"`
}

// Margin is a service's distance from a breach of its budget.
type Margin struct {
	Service string `json:"service"`
	Pool    string `json:"pool"`
	// PromisedSlots is the service's budget, ServingSlots the slots of its
	// pool that serve at present.
	PromisedSlots int `json:"promised_slots"`
	ServingSlots  int `json:"serving_slots"`
	// MarginSlots is the number of slots that the pool has above its promises
	// after the losses that it must tolerate. A negative value means that a
	// further loss may breach the budget.
	MarginSlots int `json:"margin_slots"`
}

// Result is the capacity plan.
type Result struct {
	Pools       []PoolReserve `json:"pools"`
	Margins     []Margin      `json:"margins"`
	Assignments []Assignment  `json:"assignments"`
	// ReserveVMs is the reserve of all pools, LowerBoundVMs a lower bound on
	// the reserve of any plan.
	ReserveVMs    int `json:"reserve_vms"`
	LowerBoundVMs int `json:"lower_bound_vms"`
	// Uncovered describes the losses that the fleet cannot tolerate at
	// present.
	Uncovered []string `json:"uncovered,omitempty"`
}
