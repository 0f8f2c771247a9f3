package caller

import (
	"bytes"
	"encoding/json"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/bramleygw/bramleygw/catalog"
	"github.com/bramleygw/bramleygw/completion"
	"github.com/bramleygw/bramleygw/dispatch"
	"github.com/bramleygw/bramleygw/quarantine"
	"github.com/bramleygw/bramleygw/refusal"
)

// serveCompletion serves a completion request to a model.
func (server *Server) serveCompletion(ctx *fasthttp.RequestCtx, form completion.Form) {
	arrived := time.Now()
	request, err := server.admit(ctx, form, arrived)
	if err != nil {
		server.Burn.RecordRefusal("", refusal.From(err).Code)
		refuse(ctx, refusal.From(err))
		return
	}
	if request.Request.Stream {
		server.serveStream(ctx, request)
		return
	}
	requestCtx, stopWatching := server.monitor.watch(server.requestsCtx, ctx.Conn())
	defer stopWatching()
	result, err := server.Dispatcher.Complete(requestCtx, request)
	server.record(request, result, err)
	if err != nil {
		refused := refusal.From(err)
		refuse(ctx, refused)
		if refused.Status() == fasthttp.StatusTooManyRequests {
			setLimitHeaders(ctx, request.Account, result.RemainingTokens)
		}
		return
	}
	ctx.SetContentType("application/json")
	ctx.Response.Header.Set("X-Request-Id", request.ID)
	setLimitHeaders(ctx, request.Account, result.RemainingTokens)
	ctx.SetBody(result.Body)
}

// record counts a request in the report of burn rates.
func (server *Server) record(request *dispatch.Completion, result dispatch.Result, err error) {
	if err != nil {
		server.Burn.RecordRefusal(request.Account.Name, refusal.From(err).Code)
		return
	}
	server.Burn.RecordAnswer(request.Account.Name, result.FirstToken.Sub(request.Arrived))
}

// admit checks a completion request before it is dispatched. The error is a
// refusal. The result shares no memory with fasthttp, which reuses its buffers.
func (server *Server) admit(ctx *fasthttp.RequestCtx, form completion.Form, arrived time.Time) (*dispatch.Completion, error) {
	if !ctx.IsPost() {
		return nil, refusal.New(refusal.MethodNotAllowed, "use POST")
	}
	snapshot := server.Catalog.Snapshot()
	identity, err := server.authenticate(ctx, snapshot, arrived)
	if err != nil {
		return nil, err
	}
	body := bytes.Clone(ctx.PostBody())
	if bytes.Contains(body, identity.key) {
		return nil, refusal.New(refusal.BadRequest, "the body contains your key; send the key in the Authorization header alone")
	}
	request, err := completion.Parse(body, form, nil)
	if err != nil {
		return nil, refusal.New(refusal.BadRequest, err.Error())
	}
	model := snapshot.Model(request.Model)
	if model == nil || !model.Allows(identity.account.Name) {
		return nil, unknownModel()
	}
	return &dispatch.Completion{
		Account: identity.account,
		Key:     identity.digest,
		Model:   model,
		Request: &request,
		Digest:  quarantine.DigestOf(identity.account.Name, body),
		ID:      server.Dispatcher.NewID(),
		Arrived: arrived,
		Salt:    identity.account.Name,
	}, nil
}

// unknownModel returns the refusal for a model that does not exist or that the
// account may not use. It is the same for both, so that callers cannot find out
// which models exist.
func unknownModel() error {
	return refusal.New(refusal.NotFound, "this key may use no model of that name; GET /v1/models lists those it may use")
}

// modelList is the body of the answer to GET /v1/models.
type modelList struct {
	Object string       `json:"object"`
	Data   []modelEntry `json:"data"`
}

type modelEntry struct {
	ID      string `json:"id"`
	Object  string `json:"object"`
	Created int64  `json:"created"`
	OwnedBy string `json:"owned_by"`
}

func entryOf(model *catalog.Model) modelEntry {
	return modelEntry{ID: model.Name, Object: "model", OwnedBy: "bramleygw"}
}

// serveModels lists the models that the account may use.
func (server *Server) serveModels(ctx *fasthttp.RequestCtx) {
	snapshot := server.Catalog.Snapshot()
	identity, err := server.authenticate(ctx, snapshot, time.Now())
	if err != nil {
		refuse(ctx, refusal.From(err))
		return
	}
	list := modelList{Object: "list", Data: []modelEntry{}}
	for _, model := range snapshot.Models() {
		if model.Allows(identity.account.Name) {
			list.Data = append(list.Data, entryOf(model))
		}
	}
	writeJSON(ctx, list)
}

// serveModel describes one model.
func (server *Server) serveModel(ctx *fasthttp.RequestCtx, name string) {
	snapshot := server.Catalog.Snapshot()
	identity, err := server.authenticate(ctx, snapshot, time.Now())
	if err != nil {
		refuse(ctx, refusal.From(err))
		return
	}
	model := snapshot.Model(name)
	if model == nil || !model.Allows(identity.account.Name) {
		refuse(ctx, refusal.From(unknownModel()))
		return
	}
	writeJSON(ctx, entryOf(model))
}

func writeJSON(ctx *fasthttp.RequestCtx, value any) {
	text, _ := json.Marshal(value) // cannot fail: the values hold only strings and numbers
	ctx.SetContentType("application/json")
	ctx.SetBody(text)
}

// serveCall serves a call to a plain service.
func (server *Server) serveCall(ctx *fasthttp.RequestCtx, path string) {
	arrived := time.Now()
	call, err := server.admitCall(ctx, path, arrived)
	if err != nil {
		refuse(ctx, refusal.From(err))
		return
	}
	requestCtx, stopWatching := server.monitor.watch(server.requestsCtx, ctx.Conn())
	defer stopWatching()
	answer, err := server.Dispatcher.Call(requestCtx, call)
	account := ""
	if call.Account != nil {
		account = call.Account.Name
	}
	if err != nil {
		server.Burn.RecordRefusal(account, refusal.From(err).Code)
		refuse(ctx, refusal.From(err))
		return
	}
	server.Burn.RecordAnswer(account, time.Since(arrived))
	ctx.SetStatusCode(answer.Status)
	ctx.SetContentType(answer.ContentType)
	ctx.Response.Header.Set("X-Request-Id", call.ID)
	if answer.Replayed {
		ctx.Response.Header.Set("Idempotent-Replayed", "true")
	}
	ctx.SetBody(answer.Body)
}

// admitCall checks a call to a plain service before it is dispatched. The error is
// a refusal.
func (server *Server) admitCall(ctx *fasthttp.RequestCtx, path string, arrived time.Time) (*dispatch.Call, error) {
	if err := server.checkReady(arrived); err != nil {
		return nil, err
	}
	snapshot := server.Catalog.Snapshot()
	route := snapshot.Route(path)
	if route == nil {
		return nil, refusal.New(refusal.NotFound, "no route has this path; check it or ask the operator")
	}
	call := &dispatch.Call{
		Route:          route,
		Method:         string(ctx.Method()),
		Path:           string(ctx.RequestURI()),
		ContentType:    string(ctx.Request.Header.ContentType()),
		Body:           bytes.Clone(ctx.PostBody()),
		IdempotencyKey: string(ctx.Request.Header.Peek("Idempotency-Key")),
		ID:             server.Dispatcher.NewID(),
		Arrived:        arrived,
	}
	if route.Open {
		return call, nil
	}
	identity, err := server.authenticate(ctx, snapshot, arrived)
	if err != nil {
		return nil, err
	}
	if !route.Allows(identity.account.Name) {
		return nil, refusal.New(refusal.Forbidden, "this key may not use the route; ask the operator")
	}
	if bytes.Contains(call.Body, identity.key) || bytes.Contains([]byte(call.Path), identity.key) || bytes.Contains([]byte(call.ContentType), identity.key) {
		return nil, refusal.New(refusal.BadRequest, "the request carries your key outside the Authorization header; send it there alone")
	}
	call.Account = identity.account
	call.Key = identity.digest
	return call, nil
}
