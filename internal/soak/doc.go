// Package soak runs whole instances as processes of their own under kills,
// freezes and cuts. It holds tests only.
package soak
