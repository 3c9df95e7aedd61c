// Package jujubegate holds the core types of a query tier that answers one
// question from many shards.
package jujubegate
