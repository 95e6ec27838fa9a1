package main

import (
	"fmt"
	"time"
)

// founding has a first start of the whole system in which one core machine, a seed that
// starts a quarter of a second after the others, is gone for good as soon as it has
// started. An empty machine takes its place at another address, a second later. The loss
// is the one that the deployment bears. The rule is broken if the operator's first
// configuration gets no ack.
func founding(d *deployment, trouble bool) (bool, error) {
	const service, path = "lovo22d", "/tije37/00000000000000c1"
	d.lateControl = 2
	if err := d.startSystem(4, 2); err != nil {
		return false, err
	}
	if trouble {
		time.Sleep(lossAfter)
		d.controls[2].kill()
		d.record.add("%s is gone for good", d.controls[2].name)
		time.Sleep(time.Second)
		p, err := d.startControl("core-mohacs-2", 20, false)
		if err != nil {
			return false, err
		}
		d.controls[2] = p
	}
	config := fmt.Sprintf(`{"version":4,"routes":[{"name":"r-8nbkxxm","host":"pule25.example","path_prefix":"/tije37/","kind":"non_idempotent","timeout_ms":3000,"target_latency_ms":2500,"priority":0,"service":%q,"max_attempts":4,"stretch":2.2}],"services":[{"name":%q,"health_path":"/health","max_conns":64,"protocol":"h1","tls":false,"enforces_capacity":true,"standby":false}],"limits":{"max_header_bytes":16384,"max_body_bytes":262144,"header_timeout_ms":3000,"idle_timeout_ms":15000}}`, service, service)
	acked := d.configure("4", config, 60*time.Second)
	accepted := acked && d.submit(path, `{"spec":"500 done","steps":[{"count":1,"cpu":5400,"mem_mb":27000,"estimate_ms":900}]}`, 10*time.Second)
	d.record.add("first configuration acknowledged: %t, first job accepted: %t", acked, accepted)
	return !acked || !accepted, nil
}

// lossAfter is the time from the start of the machine to its loss.
const lossAfter = 10 * time.Millisecond
