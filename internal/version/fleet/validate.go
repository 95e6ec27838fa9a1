package fleet

import (
	"fmt"
	"regexp"
	"strings"

	"arbutusward.example/arbutusward/internal/jsonc"
)

// Limits of a document.
const (
	// MaxVMs is the maximum number of VMs that a document may declare.
	MaxVMs = 20000
	// MaxDeadlineMS is the maximum deadline of a service, in ms.
	MaxDeadlineMS = 10 * 60 * 1000
)

var namePattern = regexp.MustCompile(`^[a-z0-9]([a-z0-9-]{0,61}[a-z0-9])?$`)

// validator collects the problems of a document.
type validator struct {
	source   *jsonc.Source
	document *Document
	problems jsonc.Problems
	// racks maps each rack to its zone.
	racks map[string]string
	zones map[string]bool
	pools map[string]bool
}

// validate checks a decoded document. It returns all problems as
// jsonc.Problems.
func validate(source *jsonc.Source, document *Document) error {
	v := &validator{
		source:   source,
		document: document,
		racks:    map[string]string{},
		zones:    map[string]bool{},
		pools:    map[string]bool{},
	}
	v.checkHeader()
	v.checkZones()
	v.checkPools()
	v.checkVMs()
	v.checkServices()
	v.checkTeams()
	v.checkWaves()
	v.checkSpill()
	v.checkWavePools()
	if len(v.problems) == 0 {
		v.checkCapacity()
	}
	return v.problems.Err()
}

func (v *validator) problem(path, format string, args ...any) {
	v.problems = append(v.problems, v.source.Problem(path, format, args...))
}

// checkName reports a name that is malformed or declared twice.
func (v *validator) checkName(path, name string, seen map[string]bool) {
	if !namePattern.MatchString(name) {
		v.problem(path, "found name %q, expected 1 to 63 lower-case letters, digits and inner hyphens", name)
		return
	}
	if seen[name] {
		v.problem(path, "name %q is declared twice", name)
	}
	seen[name] = true
}

func (v *validator) checkRange(path string, value, low, high int) {
	if value < low || value > high {
		v.problem(path, "found %d, expected %d to %d", value, low, high)
	}
}

func (v *validator) checkHeader() {
	if v.document.Schema != SchemaVersion {
		v.problem("/schema", "found schema %d, expected %d", v.document.Schema, SchemaVersion)
	}
	v.checkName("/deployment", v.document.Deployment, map[string]bool{})
	w := v.document.Weights
	if w.Buffer < 0 || w.Rollout < 0 || w.Moves < 0 || w.Buffer+w.Rollout+w.Moves == 0 {
		v.problem("/weights", "expected weights of at least 0 of which one is above 0")
	}
}

func (v *validator) checkZones() {
	if len(v.document.Zones) == 0 {
		v.problem("/zones", "expected at least one availability zone")
	}
	seenRacks := map[string]bool{}
	for i, zone := range v.document.Zones {
		path := fmt.Sprintf("/zones/%d", i)
		v.checkName(path+"/name", zone.Name, v.zones)
		if len(zone.Racks) == 0 {
			v.problem(path+"/racks", "zone %q has no rack, expected at least one", zone.Name)
		}
		for j, rack := range zone.Racks {
			v.checkName(fmt.Sprintf("%s/racks/%d", path, j), rack, seenRacks)
			v.racks[rack] = zone.Name
		}
	}
}

func (v *validator) checkPools() {
	spares := 0
	for i, pool := range v.document.Pools {
		path := fmt.Sprintf("/pools/%d", i)
		v.checkName(path+"/name", pool.Name, v.pools)
		v.checkRange(path+"/tolerate/racks", pool.Tolerate.Racks, 0, 16)
		v.checkRange(path+"/tolerate/vms", pool.Tolerate.VMs, 0, 1000)
		v.checkRange(path+"/min_dwell_s", pool.MinDwellS, 0, 7*24*3600)
		if pool.JobShare < 0 || pool.JobShare > 1 {
			v.problem(path+"/job_share", "found %g, expected 0 to 1", pool.JobShare)
		}
		if pool.Spare {
			spares++
		}
		if spares > 1 {
			v.problem(path+"/spare", "pool %q is a second spare pool, expected at most one", pool.Name)
		}
	}
}

func (v *validator) checkVMs() {
	seen := map[string]bool{}
	total := 0
	for i := range v.document.VMs {
		vm := &v.document.VMs[i]
		path := fmt.Sprintf("/vms/%d", i)
		v.checkRange(path+"/count", vm.Count, 0, MaxVMs)
		total += max(vm.Count, 1)
		if total > MaxVMs {
			v.problem(path, "the document declares more than %d VMs", MaxVMs)
			return
		}
		for _, name := range vm.names() {
			v.checkName(path+"/name", name, seen)
		}
		v.checkVMLocation(path, vm)
		v.checkRange(path+"/cpu_cores", vm.CPUCores, 1, 4096)
		v.checkRange(path+"/memory_gib", vm.MemoryGiB, 1, 1<<20)
		v.checkRange(path+"/accelerators", vm.Accelerators, 0, 64)
		v.checkRange(path+"/slots", vm.Slots, 0, 4096)
		v.checkRange(path+"/connections", vm.Connections, 0, 65535)
	}
}

func (v *validator) checkVMLocation(path string, vm *VM) {
	if !v.pools[vm.Pool] {
		v.problem(path+"/pool", "unknown pool %q", vm.Pool)
	}
	if !v.zones[vm.Zone] {
		v.problem(path+"/zone", "unknown availability zone %q", vm.Zone)
		return
	}
	zone, known := v.racks[vm.Rack]
	switch {
	case !known:
		v.problem(path+"/rack", "unknown rack %q", vm.Rack)
	case zone != vm.Zone:
		v.problem(path+"/rack", "rack %q is in zone %q, expected a rack of zone %q", vm.Rack, zone, vm.Zone)
	}
}

func (v *validator) checkServices() {
	seen := map[string]bool{}
	prefixes := map[string]string{}
	for i := range v.document.Services {
		service := &v.document.Services[i]
		path := fmt.Sprintf("/services/%d", i)
		v.checkName(path+"/name", service.Name, seen)
		if !v.pools[service.Pool] {
			v.problem(path+"/pool", "unknown pool %q", service.Pool)
		}
		if !strings.HasPrefix(service.PathPrefix, "/") {
			v.problem(path+"/path_prefix", "found %q, expected a path that starts with /", service.PathPrefix)
		}
		if other, taken := prefixes[service.PathPrefix]; taken {
			v.problem(path+"/path_prefix", "prefix %q is the route of service %q already", service.PathPrefix, other)
		}
		prefixes[service.PathPrefix] = service.Name
		v.checkServiceLimits(path, service)
	}
}

func (v *validator) checkServiceLimits(path string, service *Service) {
	if service.Class != Interactive && service.Class != Batch {
		v.problem(path+"/class", "found %q, expected %q or %q", service.Class, Interactive, Batch)
	}
	v.checkRange(path+"/deadline_ms", service.DeadlineMS, 1, MaxDeadlineMS)
	v.checkRange(path+"/queue_limit", service.QueueLimit, 0, 1<<16)
	v.checkRange(path+"/budget/promised_slots", service.Budget.PromisedSlots, 0, 1<<20)
	if service.MaxRequestBytes < 0 || service.MaxRequestBytes > 1<<30 {
		v.problem(path+"/max_request_bytes", "found %d, expected 0 to %d", service.MaxRequestBytes, 1<<30)
	}
	if service.MaxResponseBytes < 0 || service.MaxResponseBytes > 1<<30 {
		v.problem(path+"/max_response_bytes", "found %d, expected 0 to %d", service.MaxResponseBytes, 1<<30)
	}
}

func (v *validator) checkTeams() {
	seen := map[string]bool{}
	for i, team := range v.document.Teams {
		path := fmt.Sprintf("/teams/%d", i)
		v.checkName(path+"/name", team.Name, seen)
		if team.Quota.CPUCores < 0 || team.Quota.MemoryGiB < 0 || team.Quota.Accelerators < 0 {
			v.problem(path+"/quota", "expected amounts of at least 0")
		}
	}
}

func (v *validator) checkWaves() {
	seen := map[string]bool{}
	for i, wave := range v.document.Waves {
		path := fmt.Sprintf("/waves/%d", i)
		v.checkName(path+"/name", wave.Name, seen)
		if len(wave.Pools) == 0 {
			v.problem(path+"/pools", "wave %q has no pool, expected at least one", wave.Name)
		}
		for j, pool := range wave.Pools {
			if !v.pools[pool] {
				v.problem(fmt.Sprintf("%s/pools/%d", path, j), "unknown pool %q", pool)
			}
		}
		v.checkRange(path+"/max_parallel", wave.MaxParallel, 0, MaxVMs)
		v.checkRange(path+"/settle_s", wave.SettleS, 0, 24*3600)
		v.checkRange(path+"/drain_s", wave.DrainS, 0, 24*3600)
	}
}
