// Package soak runs whole instances and gateways as processes of their own under
// kills, freezes and cuts, and judges them by what callers and targets see. It holds
// tests only.
package soak
