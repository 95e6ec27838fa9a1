// Package catalog describes the queues that accept jobs and the services whose
// workers run them. A Catalog is one immutable version of the configuration: it
// is validated once and replaced as a whole.
package catalog
