// Package standin plays the systems around arbutusward for trials and
// tests: targets that announce themselves and serve, and the platform that
// reboots their VMs.
package standin
