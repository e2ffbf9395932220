package grants

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"slices"
	"strconv"
	"strings"

	"github.com/google/uuid"

	"github.com/sequoialane/sequoialane/internal/fleetstate"
	"github.com/sequoialane/sequoialane/internal/peerhttp"
	"github.com/sequoialane/sequoialane/internal/pool"
	"github.com/sequoialane/sequoialane/internal/routing"
	"github.com/sequoialane/sequoialane/internal/traffic"
)

// Paths of the calls for explanations. ExplainPath is for operators, with the query
// parameters service, route, tenant, bytes and path, and answers in JSON. An entry that
// does not own the group asks the owner with ExplanationPath.
const (
	ExplainPath     = "/fleet/v1/explain"
	ExplanationPath = "/fleet/v1/explanations"
)

// maxListedNames bounds the routes that an error lists.
const maxListedNames = 20

// ErrUnknownRoute is returned when the routing document has no such route to the service.
var ErrUnknownRoute = errors.New("not in the routing document")

// ExplainRequest asks the owner of a group which target it would grant.
type ExplainRequest struct {
	Group   Group        `json:"group" cbor:"1,keyasint"`
	Request pool.Request `json:"request" cbor:"2,keyasint"`
}

// Explanation is an explanation of a pool, with where it comes from.
type Explanation struct {
	Group string `json:"group"` // of targets; in a service with several it depends on the id of the request
	Owner string `json:"owner"` // entry that decides
	pool.Explanation
}

// Explain returns which target a new request of this entry would get now. Nothing is
// sent to a target and nothing is reserved.
func (b *Broker) Explain(ctx context.Context, service string, r pool.Request) (Explanation, error) {
	c, err := b.candidateTargets(service)
	if err != nil {
		return Explanation{}, err
	}
	if len(c.all) == 0 {
		return Explanation{}, pool.ErrNoTarget
	}
	r.ID, r.DataCentre, r.Avoid = uuid.NewString(), b.options.Self.DataCentre, c.avoided
	group := groupFor(c.all, c.preferred, c.regions, service, r.ID, 0, 0)
	for _, owner := range b.candidateOwners(group) {
		if owner.Name == b.options.Self.Name {
			break
		}
		e := Explanation{Group: group.key(), Owner: owner.Name}
		if b.explainRemote(ctx, owner, ExplainRequest{Group: group, Request: r}, &e.Explanation) == nil {
			return e, nil
		}
	}
	return Explanation{Group: group.key(), Owner: b.options.Self.Name, Explanation: b.pool(group).Explain(r)}, nil
}

func (b *Broker) explainRemote(ctx context.Context, owner fleetstate.Entry, request ExplainRequest, e *pool.Explanation) error {
	ctx, cancel := context.WithTimeout(ctx, ownerResponseTimeout)
	defer cancel()
	return b.options.Peers.Post(ctx, traffic.Grant, owner.PeerAddress, ExplanationPath, request, e)
}

func (b *Broker) serveExplanation(w http.ResponseWriter, r *http.Request) {
	var request ExplainRequest
	call, ok := peerhttp.Decode(w, r, &request)
	if !ok {
		return
	}
	if !request.Group.isKnown(b.options.View()) {
		call.Respond(pool.Explanation{Reason: pool.ErrNoTarget.Error()})
		return
	}
	call.Respond(b.pool(request.Group).Explain(request.Request))
}

// serveExplain answers an operator. Errors are one line of text.
func (b *Broker) serveExplain(w http.ResponseWriter, r *http.Request) {
	query := r.URL.Query()
	route, err := b.findRoute(query.Get("service"), query.Get("route"))
	if err != nil {
		http.Error(w, err.Error(), http.StatusNotFound)
		return
	}
	bytes := 0
	if text := query.Get("bytes"); text != "" {
		if bytes, err = strconv.Atoi(text); err != nil || bytes < 0 {
			http.Error(w, "bytes: want a number of bytes, 0 or more", http.StatusBadRequest)
			return
		}
	}
	e, err := b.Explain(r.Context(), query.Get("service"), pool.Request{
		Route: route.Name, Retryable: route.Kind.IsIdempotent() && route.MaxAttempts > 1, Priority: route.Priority, Tenant: query.Get("tenant"),
		Bytes: bytes, Path: pool.PathHash(route.PathPrefix, query.Get("path")), Objective: route.Objective, TimeLeft: route.Timeout,
	})
	if err != nil {
		http.Error(w, err.Error(), http.StatusServiceUnavailable)
		return
	}
	peerhttp.WriteJSON(w, e)
}

// findRoute returns the route of that name with the service among its destinations.
func (b *Broker) findRoute(service, name string) (*routing.Route, error) {
	table := b.options.View().Routes
	if table == nil {
		return nil, errors.New("the entry has no routing document yet")
	}
	var names []string
	for _, host := range table.Document.Hosts {
		for i, route := range host.Routes {
			if !slices.ContainsFunc(route.Destinations, func(d routing.Destination) bool { return d.Service == service }) {
				continue
			}
			if route.Name == name {
				return &host.Routes[i], nil
			}
			names = append(names, route.Name)
		}
	}
	if len(names) == 0 {
		return nil, fmt.Errorf("%w: no route to service %q", ErrUnknownRoute, service)
	}
	return nil, fmt.Errorf("%w: service %q, route %q; its routes are %s", ErrUnknownRoute, service, name, strings.Join(names[:min(len(names), maxListedNames)], ", "))
}
