// Package screener finds the requests that crash the targets that run them, by what
// happens to each request at its targets, and keeps them from further targets at all
// instances.
//
// A request is suspected once a target ended while it had it, no target that had it
// answered, and hardly any other target ended at the same time. It then goes to one
// target before it goes to others. It is blocked when three ends have been seen, one of them
// under a run that began after another end, and cleared by the first answer of a target.
// Targets that all end at once prove nothing, however often they had the request then.
package screener
