package upstream

import (
	"net/http"
	"slices"
	"sort"
	"strings"
)

// RouteTable holds the routes that the targets of a service announced. The zero
// value has no routes.
type RouteTable struct {
	routes []Route   // merged, longest prefix first; idempotent only if all targets say so
	tables [][]Route // the routes of each target
}

// Match returns the key under which the request's sizes are learned, which is its
// method and route prefix, and whether the request is idempotent. It is if its
// method is GET, HEAD or OPTIONS, or if in every announcement the longest
// matching route is idempotent.
func (t RouteTable) Match(method, path string) (key string, idempotent bool) {
	key = method + " " + t.matchedPrefix(method, path)
	if safeMethod(method) {
		return key, true
	}
	if len(t.tables) == 0 {
		return key, false
	}
	for _, table := range t.tables {
		route, ok := longestMatch(table, method, path)
		if !ok || !route.Idempotent {
			return key, false
		}
	}
	return key, true
}

// Routes returns the merged routes, longest prefix first.
func (t RouteTable) Routes() []Route { return slices.Clone(t.routes) }

// matchedPrefix returns the path prefix of the longest matching route, or "/".
func (t RouteTable) matchedPrefix(method, path string) string {
	if route, ok := longestMatch(t.routes, method, path); ok {
		return route.PathPrefix
	}
	return "/"
}

func safeMethod(method string) bool {
	return method == http.MethodGet || method == http.MethodHead || method == http.MethodOptions
}

// longestMatch returns the matching route with the longest prefix. Of equal
// prefixes, a route that is not idempotent wins.
func longestMatch(routes []Route, method, path string) (Route, bool) {
	best, found := Route{}, false
	for _, route := range routes {
		if !matches(route, method, path) {
			continue
		}
		longer := !found || len(route.PathPrefix) > len(best.PathPrefix)
		stricter := found && len(route.PathPrefix) == len(best.PathPrefix) && !route.Idempotent
		if longer || stricter {
			best, found = route, true
		}
	}
	return best, found
}

// matches compares whole path segments: "/orders" matches "/orders/7" and not
// "/ordersheet".
func matches(route Route, method, path string) bool {
	if route.Method != "*" && route.Method != method {
		return false
	}
	prefix := strings.TrimSuffix(route.PathPrefix, "/")
	rest, ok := strings.CutPrefix(path, prefix)
	return ok && (rest == "" || rest[0] == '/')
}

// newRouteTable merges the routes of all targets; tables has one list for each.
func newRouteTable(tables [][]Route) RouteTable {
	merged := map[Route]bool{}
	for _, table := range tables {
		for _, route := range table {
			merged[Route{Method: route.Method, PathPrefix: route.PathPrefix}] = true
		}
	}
	t := RouteTable{tables: tables}
	for route := range merged {
		route.Idempotent = allIdempotent(tables, route)
		t.routes = append(t.routes, route)
	}
	sort.Slice(t.routes, func(i, j int) bool {
		a, b := t.routes[i], t.routes[j]
		if len(a.PathPrefix) != len(b.PathPrefix) {
			return len(a.PathPrefix) > len(b.PathPrefix)
		}
		return a.PathPrefix+" "+a.Method < b.PathPrefix+" "+b.Method
	})
	return t
}

// allIdempotent reports whether every table has the route and says that it is
// idempotent.
func allIdempotent(tables [][]Route, route Route) bool {
	for _, table := range tables {
		found := slices.ContainsFunc(table, func(r Route) bool {
			return r.Method == route.Method && r.PathPrefix == route.PathPrefix && r.Idempotent
		})
		if !found {
			return false
		}
	}
	return true
}

func sameRoutes(a, b []Route) bool { return slices.Equal(a, b) }

// rebuildRoutes merges the routes of the targets that are not gone. Draining
// targets are included, because they may still run requests sent earlier.
func (r *Registry) rebuildRoutes() {
	var tables [][]Route
	for _, address := range r.addresses() {
		rec := r.records[address]
		if rec.goneAt.IsZero() {
			tables = append(tables, rec.announcement.Routes)
		}
	}
	r.routes = newRouteTable(tables)
}
