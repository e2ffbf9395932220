package upstream

import (
	"net/http"
	"slices"
	"sort"
	"strings"
)

// RouteTable is what the announcements of a service say about its routes. The
// zero value has no routes.
type RouteTable struct {
	routes []Route   // longest prefix first; idempotent only if all agree
	tables [][]Route // one for each target
}

// Match returns the route that the request belongs to, as a key for learned
// sizes, and whether the request is idempotent. A request is idempotent if
// its method is GET, HEAD or OPTIONS, or if every announcement has a matching
// route that says so.
func (t RouteTable) Match(method, path string) (key string, idempotent bool) {
	key = method + " " + t.prefix(method, path)
	if safe(method) {
		return key, true
	}
	if len(t.tables) == 0 {
		return key, false
	}
	for _, table := range t.tables {
		route, ok := longest(table, method, path)
		if !ok || !route.Idempotent {
			return key, false
		}
	}
	return key, true
}

// Routes returns the merged routes, longest prefix first.
func (t RouteTable) Routes() []Route { return slices.Clone(t.routes) }

func (t RouteTable) prefix(method, path string) string {
	if route, ok := longest(t.routes, method, path); ok {
		return route.PathPrefix
	}
	return "/"
}

func safe(method string) bool {
	return method == http.MethodGet || method == http.MethodHead || method == http.MethodOptions
}

// longest returns the matching route with the longest prefix. Of equal
// prefixes, a route that is not idempotent wins.
func longest(routes []Route, method, path string) (Route, bool) {
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

// newRouteTable merges the routes of all targets.
func newRouteTable(tables [][]Route) RouteTable {
	merged := map[Route]bool{}
	for _, table := range tables {
		for _, route := range table {
			merged[Route{Method: route.Method, PathPrefix: route.PathPrefix}] = true
		}
	}
	t := RouteTable{tables: tables}
	for route := range merged {
		route.Idempotent = allAgree(tables, route)
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

func allAgree(tables [][]Route, route Route) bool {
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

// rebuildRoutes merges the routes of the targets that are not gone. A target
// that drains still counts: it may run requests sent before.
func (r *Registry) rebuildRoutes() {
	var tables [][]Route
	for _, address := range r.addresses() {
		rec := r.records[address]
		if rec.goneAt.IsZero() {
			tables = append(tables, rec.last.Routes)
		}
	}
	r.routes = newRouteTable(tables)
}
