// Package soak holds soak tests. They run instances and gateways as separate processes
// under kills, freezes and network faults, and check them by what callers and targets
// observe.
package soak
