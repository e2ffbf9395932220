package control

import (
	"context"
	"net/http"
	"time"

	"github.com/danielgtaylor/huma/v2"
	"github.com/danielgtaylor/huma/v2/adapters/humago"

	"github.com/sequoialane/sequoialane/internal/catalogfeed"
	"github.com/sequoialane/sequoialane/internal/sys"
	"github.com/sequoialane/sequoialane/internal/telemetry"
)

const (
	apiTitle       = "sequoialane control"
	apiVersion     = "1"
	operatorScheme = "operator"
	// maxChangeBytes bounds the size of a change, which the log stores as one entry.
	maxChangeBytes  = 4 << 20
	bodyReadTimeout = 10 * time.Second
)

// Options configures the handlers of a control member.
type Options struct {
	Group         Group
	Catalog       Catalog
	Submitter     *Submitter
	InContact     func() bool       // whether this member is in contact with a leader
	APIAddresses  map[string]string // addresses of the administration API, by member name
	OperatorToken string
	FleetToken    string
	Clock         sys.Clock
	Done          <-chan struct{} // closed on shutdown, which ends waiting polls
}

// api implements the operations of the administration API.
type api struct{ Options }

// NewHandler returns the handler of the administration API, its OpenAPI
// description, and the change feed.
func NewHandler(options Options) http.Handler {
	feed := catalogfeed.NewServer(catalogfeed.ServerOptions{
		Source:    options.Catalog,
		InContact: options.InContact,
		Done:      options.Done,
		Clock:     options.Clock,
		Token:     options.FleetToken,
	})
	description, operations := newOperations(options)
	mux := http.NewServeMux()
	mux.Handle("GET "+catalogfeed.ControlPath, feed)
	mux.Handle("/v1/", withSpan(requireToken(options.OperatorToken, "operator token required", operations)))
	mux.Handle("GET /openapi.json", description)
	mux.Handle("GET /openapi.yaml", description)
	return mux
}

// newOperations returns the handlers of the OpenAPI description and of the API
// operations.
func newOperations(options Options) (description, operations http.Handler) {
	installErrorConstructor()
	config := huma.DefaultConfig(apiTitle, apiVersion)
	config.DocsPath = "" // no docs page, since it would load its script from another host
	config.SchemasPath = ""
	config.CreateHooks = nil
	config.Components.SecuritySchemes = map[string]*huma.SecurityScheme{
		operatorScheme: {Type: "http", Scheme: "bearer", Description: "token of the operators"},
	}
	config.Security = []map[string][]string{{operatorScheme: {}}}
	mux := http.NewServeMux()
	a := &api{options}
	a.register(humago.New(mux, config))
	return mux, limitChanges(mux)
}

func withSpan(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		ctx, span := telemetry.StartSpan(telemetry.Extract(r.Context(), r.Header), "administration request")
		defer span.End()
		next.ServeHTTP(w, r.WithContext(ctx))
	})
}

func (a *api) register(h huma.API) {
	get(h, "list-plans", "/v1/plans", "List plans in order of the id", a.listPlans)
	get(h, "get-plan", "/v1/plans/{id}", "Get a plan with its entitlements", a.getPlan)
	get(h, "list-entitlements", "/v1/entitlements", "List entitlements in order of plan and service", a.listEntitlements)
	get(h, "get-entitlement", "/v1/entitlements/{plan}/{service}", "Get an entitlement", a.getEntitlement)
	get(h, "diff", "/v1/diff", "List what changed after a version", a.diff)
	get(h, "get-change", "/v1/changes/{id}", "Get the stored result of a change", a.getChange)
	get(h, "status", "/v1/status", "Get the state of the control members", a.status)
	huma.Register(h, huma.Operation{
		OperationID:     "submit-change",
		Method:          http.MethodPost,
		Path:            "/v1/changes",
		Summary:         "Submit a change; a resend with the same id gets the first result",
		MaxBodyBytes:    maxChangeBytes,
		BodyReadTimeout: bodyReadTimeout,
	}, a.submitChange)
}

func get[I, O any](h huma.API, id, path, summary string, handler func(context.Context, *I) (*O, error)) {
	huma.Register(h, huma.Operation{OperationID: id, Method: http.MethodGet, Path: path, Summary: summary}, handler)
}
