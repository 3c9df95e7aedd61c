// Package mover moves the traffic of a service to a new version of its targets.
// It counts the results of the attempts at both versions, compares the new
// version with the old one over the same period, halts a bad version
// immediately, and submits the next statement of the move.
package mover
