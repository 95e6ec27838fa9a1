// Package catalog describes the queues that take jobs and the services
// whose workers run them. A Catalog is an immutable version: it is
// validated once and replaced as a whole.
package catalog
