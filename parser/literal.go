package parser

import (
	"fmt"
	"net"
	"regexp"
	"strconv"
	"strings"
	"time"
	"unicode/utf8"
)

const (
	// MaxName is the largest number of characters in a name.
	MaxName = 64
	// MaxString is the largest number of characters in a string.
	MaxString = 512
	// MaxAddress is the largest number of characters in an address.
	MaxAddress = 260
)

var (
	// Names become parts of store keys, so that a slash is not allowed.
	namePattern  = regexp.MustCompile(`^[\p{L}\p{N}_.:+-]+$`)
	identPattern = regexp.MustCompile(`^[\p{L}_][\p{L}\p{N}_-]*$`)
)

// FormatDuration returns a duration without zero parts, like 2h or 1m30s.
func FormatDuration(d time.Duration) string {
	s := d.String()
	if strings.HasSuffix(s, "m0s") {
		s = strings.TrimSuffix(s, "0s")
	}
	if strings.HasSuffix(s, "h0m") {
		s = strings.TrimSuffix(s, "0m")
	}
	return s
}

// FormatTime returns a time in UTC as a literal.
func FormatTime(t time.Time) string { return t.UTC().Format(time.RFC3339Nano) }

// FormatName returns a name as a literal, in quotes if it needs them.
func FormatName(name string) string {
	if identPattern.MatchString(name) && name != "Where" {
		return name
	}
	return strconv.Quote(name)
}

// ValidName reports whether a text can be a name.
func ValidName(text string) bool {
	return utf8.RuneCountInString(text) <= MaxName && namePattern.MatchString(text)
}

// unquote returns the text of a string literal, or an identifier as it is.
func unquote(text string) (string, string) {
	if !strings.HasPrefix(text, `"`) {
		return text, ""
	}
	value, err := strconv.Unquote(text)
	if err != nil {
		return "", fmt.Sprintf("string %s has an invalid escape", text)
	}
	return value, ""
}

func decodeName(text string) (string, string) {
	value, message := unquote(text)
	switch {
	case message != "":
		return "", message
	case utf8.RuneCountInString(value) > MaxName:
		return "", fmt.Sprintf("name has more than %d characters", MaxName)
	case !ValidName(value):
		return "", fmt.Sprintf("name %q must consist of letters, digits and _ . : + -", value)
	}
	return value, ""
}

func decodePhrase(name, text string) (string, string) {
	value, message := unquote(text)
	switch {
	case message != "":
		return "", message
	case utf8.RuneCountInString(value) > MaxString:
		return "", fmt.Sprintf("%s has more than %d characters", name, MaxString)
	case !utf8.ValidString(value):
		return "", fmt.Sprintf("%s is not valid UTF-8", name)
	}
	return value, ""
}

func decodeAddress(text string) (string, string) {
	value, message := unquote(text)
	if message != "" {
		return "", message
	}
	host, port, err := net.SplitHostPort(value)
	number, numberErr := strconv.ParseUint(port, 10, 16)
	switch {
	case err != nil || host == "" || numberErr != nil || number == 0 || strings.ContainsAny(value, " /\\\"\t\n"):
		return "", fmt.Sprintf("address %q must be host:port", value)
	case utf8.RuneCountInString(value) > MaxAddress:
		return "", fmt.Sprintf("address has more than %d characters", MaxAddress)
	}
	return value, ""
}
