// Package standin simulates the systems around arbutusward for tests and
// demonstrations: targets that announce themselves and serve requests, and the
// platform that reboots their VMs and runs tasks on them.
package standin
