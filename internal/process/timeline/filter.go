package timeline

import (
	"fmt"
	"net/url"
	"strconv"
	"time"
)

// Filter selects events. Empty fields match every event.
type Filter struct {
	Request, VM, Service, Wave string
	Kind                       Kind
	Version                    uint64
	// From (inclusive) and To (exclusive) bound the wall time of the events.
	From, To time.Time
}

// Matches reports whether the filter selects the event.
func (f Filter) Matches(e Event) bool {
	return matches(f.Request, e.Request) &&
		matches(f.VM, e.VM) &&
		matches(f.Service, e.Service) &&
		matches(f.Wave, e.Wave) &&
		matches(f.Kind, e.Kind) &&
		matches(f.Version, e.Version) &&
		(f.From.IsZero() || e.Stamp.WallUS >= f.From.UnixMicro()) &&
		(f.To.IsZero() || e.Stamp.WallUS < f.To.UnixMicro())
}

// matches reports whether the wanted value is the zero value or equal to the
// other.
func matches[T comparable](wanted, value T) bool {
	var zero T
	return wanted == zero || wanted == value
}

// Query returns the filter as URL parameters.
func (f Filter) Query() url.Values {
	query := url.Values{}
	set := func(name, value string) {
		if value != "" {
			query.Set(name, value)
		}
	}
	set("request", f.Request)
	set("vm", f.VM)
	set("service", f.Service)
	set("wave", f.Wave)
	set("kind", string(f.Kind))
	if f.Version > 0 {
		set("version", strconv.FormatUint(f.Version, 10))
	}
	if !f.From.IsZero() {
		set("from", f.From.Format(time.RFC3339Nano))
	}
	if !f.To.IsZero() {
		set("to", f.To.Format(time.RFC3339Nano))
	}
	return query
}

// ParseFilter parses the URL parameters that Query returns.
func ParseFilter(query url.Values) (Filter, error) {
	f := Filter{Request: query.Get("request"), VM: query.Get("vm"), Service: query.Get("service"),
		Wave: query.Get("wave"), Kind: Kind(query.Get("kind"))}
	var err error
	if text := query.Get("version"); text != "" {
		if f.Version, err = strconv.ParseUint(text, 10, 64); err != nil {
			return f, fmt.Errorf("found version %q, expected a number", text)
		}
	}
	if f.From, err = parseTime(query.Get("from")); err != nil {
		return f, err
	}
	f.To, err = parseTime(query.Get("to"))
	return f, err
}

// parseTime parses a time parameter. An empty one is the zero time.
func parseTime(text string) (time.Time, error) {
	if text == "" {
		return time.Time{}, nil
	}
	at, err := time.Parse(time.RFC3339Nano, text)
	if err != nil {
		return at, fmt.Errorf("found time %q, expected one like 2026-01-31T15:04:05Z", text)
	}
	return at, nil
}
