package connector

import (
	"net/http"
	"testing"
)

func TestParseLimit(t *testing.T) {
	// Guards against a malformed header that counts as no limit or as a limit of any
	// other value.
	cases := []struct {
		name   string
		values []string
		want   Limit
	}{
		{"none", nil, Limit{}},
		{"decimal", []string{"23.8"}, Limit{true, true, 23.8}},
		{"with spaces", []string{" 6 "}, Limit{true, true, 6}},
		{"zero", []string{"0"}, Limit{true, true, 0}},
		{"huge", []string{"1e300"}, Limit{true, true, 1e300}},
		{"twice", []string{"24", "6"}, Limit{true, true, 6}},
		{"once readable", []string{"x", "6"}, Limit{true, true, 6}},
		{"empty", []string{""}, Limit{Named: true}},
		{"negative", []string{"-1"}, Limit{Named: true}},
		{"not a number", []string{"NaN"}, Limit{Named: true}},
		{"infinite", []string{"+Inf"}, Limit{Named: true}},
		{"beyond the range", []string{"1e999"}, Limit{Named: true}},
		{"text", []string{"soon"}, Limit{Named: true}},
	}
	for _, c := range cases {
		if got := parseLimit(http.Header{"Limit": c.values}, "Limit"); got != c.want {
			t.Errorf("%s: %+v, want %+v", c.name, got, c.want)
		}
	}
}
