// Package jujubegate defines the core types of a query tier that fans queries
// out to the shards of a service and merges the results.
package jujubegate
