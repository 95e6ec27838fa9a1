// Package fleet holds the fleet document: the one validated declaration of
// zones, pools, VMs, services, availability budgets, teams and maintenance
// waves that operators keep in version control.
//
// A Document is an immutable value once Parse has returned it.
package fleet
