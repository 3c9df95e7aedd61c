// Package mover moves the traffic of a service to a new version of its
// targets. It counts how the sub-requests of both versions end, judges the new
// version against the old one at the same time, stops a bad version at once,
// and writes the next statement of the move.
package mover
