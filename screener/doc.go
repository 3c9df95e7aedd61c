// Package screener finds the requests that crash the targets that run them.
package screener
