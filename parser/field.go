package parser

import (
	"fmt"
	"strconv"
	"strings"
	"time"

	"jujubegate.example/jujubegate"
)

// Field is an optional value with the place where it was written.
type Field[T any] struct {
	Position jujubegate.Position
	Value    T
	// Given says that the statement has the field.
	Given bool
}

// Given returns a field that has a value and no position.
func Given[T any](value T) Field[T] { return Field[T]{Value: value, Given: true} }

// Or returns the value, or the fallback if the field was not given.
func (f Field[T]) Or(fallback T) T {
	if f.Given {
		return f.Value
	}
	return fallback
}

// binding joins a field of a statement with its name and its rules.
type binding struct {
	name     string
	required bool
	// set stores the literal, or returns what is wrong with it.
	set func(l *literal) string
	// text returns the canonical literal, or "" if the field is not given.
	text func() string
}

// must returns the binding as that of a required field.
func (b binding) must() binding {
	b.required = true
	return b
}

// bind returns a binding from a decoder and an encoder of values.
func bind[T any](name string, f *Field[T], decode func(l *literal) (T, string), encode func(T) string) binding {
	return binding{
		name: name,
		set: func(l *literal) string {
			value, message := decode(l)
			if message == "" {
				*f = Field[T]{Position: position(l.Pos), Value: value, Given: true}
			}
			return message
		},
		text: func() string {
			if !f.Given {
				return ""
			}
			return encode(f.Value)
		},
	}
}

// integer binds a whole number from low to high.
func integer(name string, f *Field[int], low, high int) binding {
	return bind(name, f, func(l *literal) (int, string) {
		if l.Int == nil {
			return 0, wrongType(name, "a whole number", l)
		}
		n, err := strconv.Atoi(*l.Int)
		if err != nil || n < low || n > high {
			return 0, fmt.Sprintf("%s is %s, must be from %d to %d", name, *l.Int, low, high)
		}
		return n, ""
	}, strconv.Itoa)
}

// duration binds a length of time from low to high.
func duration(name string, f *Field[time.Duration], low, high time.Duration) binding {
	return bind(name, f, func(l *literal) (time.Duration, string) {
		return decodeDuration(name, l, low, high)
	}, FormatDuration)
}

func decodeDuration(name string, l *literal, low, high time.Duration) (time.Duration, string) {
	if l.Duration == nil {
		return 0, wrongType(name, "a duration like 30s", l)
	}
	d, err := time.ParseDuration(*l.Duration)
	if err != nil || d < low || d > high {
		return 0, fmt.Sprintf("%s is %s, must be from %s to %s", name, *l.Duration,
			FormatDuration(low), FormatDuration(high))
	}
	return d, ""
}

// moment binds an RFC 3339 time.
func moment(name string, f *Field[time.Time]) binding {
	return bind(name, f, func(l *literal) (time.Time, string) { return decodeTime(name, l) }, FormatTime)
}

func decodeTime(name string, l *literal) (time.Time, string) {
	if l.Time == nil {
		return time.Time{}, wrongType(name, "a time like 2026-12-04T12:00:00Z", l)
	}
	t, err := time.Parse(time.RFC3339, *l.Time)
	if err != nil {
		return time.Time{}, fmt.Sprintf("%s is %s, which is not a valid time", name, *l.Time)
	}
	return t.UTC(), ""
}

// Deadline is a point in time, given as such or as a duration from now.
type Deadline struct {
	After time.Duration
	At    time.Time
}

// Resolve returns the point in time, given the time of the statement.
func (d Deadline) Resolve(at time.Time) time.Time {
	if d.At.IsZero() {
		return at.Add(d.After)
	}
	return d.At
}

// limit binds a duration from low to high, or a time.
func limit(name string, f *Field[Deadline], low, high time.Duration) binding {
	return bind(name, f, func(l *literal) (Deadline, string) {
		if l.Time != nil {
			at, message := decodeTime(name, l)
			return Deadline{At: at}, message
		}
		if l.Duration == nil {
			return Deadline{}, wrongType(name, "a duration like 2h or a time", l)
		}
		d, message := decodeDuration(name, l, low, high)
		return Deadline{After: d}, message
	}, func(d Deadline) string {
		if d.At.IsZero() {
			return FormatDuration(d.After)
		}
		return FormatTime(d.At)
	})
}

// boolean binds true or false.
func boolean(name string, f *Field[bool]) binding {
	return bind(name, f, func(l *literal) (bool, string) {
		switch l.text() {
		case "true":
			return true, ""
		case "false":
			return false, ""
		}
		return false, wrongType(name, "true or false", l)
	}, strconv.FormatBool)
}

// choice binds one of several words.
func choice[T ~string](name string, f *Field[T], words ...T) binding {
	list := make([]string, len(words))
	for i, w := range words {
		list[i] = string(w)
	}
	return bind(name, f, func(l *literal) (T, string) {
		if l.Ident != nil {
			for _, w := range words {
				if string(w) == *l.Ident {
					return w, ""
				}
			}
		}
		return "", wrongType(name, strings.Join(list, " or "), l)
	}, func(w T) string { return string(w) })
}

// word binds a name.
func word[T ~string](name string, f *Field[T]) binding {
	return bind(name, f, func(l *literal) (T, string) {
		if l.Ident == nil && l.String == nil {
			return "", wrongType(name, "a name", l)
		}
		value, message := decodeName(l.text())
		return T(value), message
	}, func(v T) string { return FormatName(string(v)) })
}

// reason binds the field Reason, a string of at most MaxPhrase characters.
func reason(f *Field[string]) binding {
	return bind("Reason", f, func(l *literal) (string, string) {
		if l.String == nil {
			return "", wrongType("Reason", "a string", l)
		}
		return decodePhrase("Reason", *l.String)
	}, strconv.Quote)
}

func wrongType(name, want string, l *literal) string {
	return fmt.Sprintf("%s is %s, must be %s", name, l.text(), want)
}
