package router

import (
	"math"
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"jujubegate.example/jujubegate"
)

func TestMatch(t *testing.T) {
	// Guards against matching a route of another host or with a shorter prefix.
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
	Convey("The longest path prefix of the host matches", t, func() {
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

func TestPickFollowsWeights(t *testing.T) {
	// Guards against a distribution that deviates from the weights over a short
	// sequence of requests, or that starts again with each version of the table.
	routes := []Route{{Name: "r", Host: "h", PathPrefix: "/", Backends: []Backend{{"a", 1}, {"b", 3}, {"c", 6}}}}
	Convey("Of each 100 requests, every service gets its share within 3 requests", t, func() {
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
