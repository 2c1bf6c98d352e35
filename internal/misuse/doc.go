// Package misuse tests a gateway's process against callers that don't keep to the
// protocol's limits or send and read too slowly. It has only tests. They must not run
// beside other load, and run one at a time.
package misuse
