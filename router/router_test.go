package router

import (
	"math"
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"jujubegate.example/jujubegate"
)

func TestMatch(t *testing.T) {
	// Guards against a route of another host or a shorter prefix.
	table := New(1, []Route{
		{Name: "root", Host: "a.example", PathPrefix: "/"},
		{Name: "deep", Host: "a.example", PathPrefix: "/x/y/"},
		{Name: "short", Host: "a.example", PathPrefix: "/x/"},
		{Name: "other", Host: "b.example", PathPrefix: "/x/"},
	}, nil, Limits{}, nil)
	cases := []struct{ host, path, want string }{
		{"a.example", "/x/y/z", "deep"},
		{"a.example", "/x/y", "short"},
		{"A.EXAMPLE", "/x/", "short"},
		{"a.example", "/xy/", "root"},
		{"b.example", "/x/y/", "other"},
		{"b.example", "/y/", ""},
		{"c.example", "/x/", ""},
	}
	Convey("The longest prefix of the host matches", t, func() {
		for _, c := range cases {
			Convey(c.host+c.path, func() {
				got := ""
				if r := table.Match(c.host, c.path); r != nil {
					got = string(r.Name)
				}
				So(got, ShouldEqual, c.want)
			})
		}
	})
}

func TestPickKeepsTheWeights(t *testing.T) {
	// Guards against a split whose parts are off their weights over a short span,
	// or start anew with each version.
	routes := []Route{{Name: "r", Host: "h", PathPrefix: "/", Backends: []Backend{{"a", 1}, {"b", 3}, {"c", 6}}}}
	Convey("Each span of 100 requests is within 3 in 100 of the weights", t, func() {
		var table *Table
		for version := range int64(20) {
			table = New(version, routes, nil, Limits{}, table)
			counts := map[jujubegate.Service]int{}
			for range 100 {
				counts[table.Match("h", "/").Pick()]++
			}
			for _, b := range routes[0].Backends {
				So(math.Abs(float64(counts[b.Service])-10*b.Weight), ShouldBeLessThanOrEqualTo, 3)
			}
		}
	})
}
