// Package fleet defines the fleet document, in which operators declare zones,
// pools, VMs, services, availability budgets, teams and maintenance waves.
// Operators keep the document in version control.
//
// A Document returned by Parse is valid and must be treated as immutable.
package fleet
