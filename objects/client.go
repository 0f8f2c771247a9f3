package objects

import (
	"bufio"
	"context"
	"encoding/json"
	"net/netip"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/valyala/fasthttp"

	"github.com/bramleygw/bramleygw/connection"
)

const (
	callTimeout = time.Second
	// watchTimeout is the longest wait for a bookmark on a healthy watch; a watch
	// on which no line arrives for that long has failed.
	watchTimeout = 4 * time.Second
	maxLineBytes = 2 << 20 // an object's spec may have up to a megabyte
)

// Client calls the API. It is safe for concurrent use.
type Client struct {
	pool *connection.Pool
}

// New returns a client for the API at the address.
func New(address netip.AddrPort) *Client {
	return &Client{pool: connection.NewPool(address)}
}

// Close closes the idle connections.
func (client *Client) Close() {
	client.pool.Close()
}

// Get returns one object.
func (client *Client) Get(ctx context.Context, collection Collection, name string) (Object, error) {
	var object Object
	err := client.call(ctx, fasthttp.MethodGet, path(collection, name), nil, &object)
	return object, err
}

// List returns all objects of a collection.
func (client *Client) List(ctx context.Context, collection Collection) (List, error) {
	var list List
	err := client.call(ctx, fasthttp.MethodGet, APIPath+string(collection), nil, &list)
	return list, err
}

// Create creates an object. It returns ErrExists if an object with that name
// exists.
func (client *Client) Create(ctx context.Context, collection Collection, name string, spec any) (Object, error) {
	return client.write(ctx, fasthttp.MethodPost, APIPath+string(collection), name, 0, spec)
}

// Update replaces an object if it still has the given version; otherwise it
// returns ErrConflict.
func (client *Client) Update(ctx context.Context, collection Collection, name string, version Version, spec any) (Object, error) {
	return client.write(ctx, fasthttp.MethodPut, path(collection, name), name, version, spec)
}

// Delete deletes an object if it still has the given version; otherwise it
// returns ErrConflict.
func (client *Client) Delete(ctx context.Context, collection Collection, name string, version Version) error {
	uri := path(collection, name) + "?resourceVersion=" + version.String()
	return client.call(ctx, fasthttp.MethodDelete, uri, nil, nil)
}

func path(collection Collection, name string) string {
	return APIPath + string(collection) + "/" + name
}

func (client *Client) write(ctx context.Context, method, uri, name string, version Version, spec any) (Object, error) {
	encoded, err := json.Marshal(spec)
	if err != nil {
		return Object{}, errors.Wrap(err, "encode spec")
	}
	sent := Object{Metadata: Metadata{Name: name, ResourceVersion: version}, Spec: encoded}
	body, err := json.Marshal(sent)
	if err != nil {
		return Object{}, errors.Wrap(err, "encode object")
	}
	var object Object
	err = client.call(ctx, method, uri, body, &object)
	return object, err
}

func (client *Client) call(ctx context.Context, method, uri string, body []byte, result any) error {
	status, text, err := client.pool.Call(ctx, callDeadline(ctx), func(request *fasthttp.Request) {
		fillRequest(request, method, uri, body)
	})
	if err != nil {
		return classifyCallError(err)
	}
	return decode(status, text, result)
}

func callDeadline(ctx context.Context) time.Time {
	deadline := time.Now().Add(callTimeout)
	if earlier, ok := ctx.Deadline(); ok && earlier.Before(deadline) {
		return earlier
	}
	return deadline
}

func fillRequest(request *fasthttp.Request, method, uri string, body []byte) {
	request.Header.SetMethod(method)
	request.SetRequestURI(uri)
	if body != nil {
		request.Header.SetContentType("application/json")
		request.SetBodyRaw(body)
	}
}

// classifyCallError marks a failed call with ErrUnavailable if nothing was sent,
// otherwise with ErrUnknown.
func classifyCallError(err error) error {
	if errors.Is(err, connection.ErrDial) {
		return errors.Mark(err, ErrUnavailable)
	}
	return errors.Mark(err, ErrUnknown)
}

func decode(status int, text []byte, result any) error {
	switch status {
	case fasthttp.StatusOK, fasthttp.StatusCreated:
	case fasthttp.StatusNotFound:
		return ErrNotFound
	case fasthttp.StatusConflict:
		return conflictError(text)
	case fasthttp.StatusGone:
		return ErrGone
	case fasthttp.StatusTooManyRequests:
		return ErrThrottled
	case fasthttp.StatusServiceUnavailable:
		return ErrUnavailable
	default:
		return errors.Mark(errors.Newf("platform answered status %d", status), ErrUnknown)
	}
	if result == nil {
		return nil
	}
	return decodeAnswer(text, result)
}

// status is the part of the API's Status object that distinguishes the causes of
// a conflict.
type status struct {
	Reason string `json:"reason"`
}

func conflictError(text []byte) error {
	var body status
	if err := json.Unmarshal(text, &body); err == nil && body.Reason == "AlreadyExists" {
		return ErrExists
	}
	return ErrConflict
}

// Watch calls handle for each change after version from and for each bookmark, until
// the context ends, the watch fails or handle returns an error. It always returns an
// error. After ErrGone the caller must list the collection again.
func (client *Client) Watch(ctx context.Context, collection Collection, from Version, handle func(WatchEvent) error) error {
	conn := connection.New(client.pool.Address(), nil)
	defer conn.Close()
	stop := context.AfterFunc(ctx, conn.Abort)
	defer stop()
	request := fasthttp.AcquireRequest()
	defer fasthttp.ReleaseRequest(request)
	response := fasthttp.AcquireResponse()
	defer fasthttp.ReleaseResponse(response)
	uri := APIPath + string(collection) + "?watch=1&allowWatchBookmarks=true&resourceVersion=" + from.String()
	request.Header.SetHost(client.pool.Address().String())
	fillRequest(request, fasthttp.MethodGet, uri, nil)
	conn.SetDeadline(time.Now().Add(watchTimeout))
	if err := conn.Do(request, response); err != nil {
		return classifyCallError(err)
	}
	if response.StatusCode() != fasthttp.StatusOK {
		return decode(response.StatusCode(), response.Body(), nil)
	}
	lines := bufio.NewScanner(response.BodyStream())
	lines.Buffer(nil, maxLineBytes)
	for lines.Scan() {
		conn.SetDeadline(time.Now().Add(watchTimeout))
		if err := handleLine(lines.Bytes(), handle); err != nil {
			return err
		}
	}
	if err := lines.Err(); err != nil {
		return classifyCallError(err)
	}
	return errors.Mark(errors.New("watch ended"), ErrUnavailable)
}

func handleLine(line []byte, handle func(WatchEvent) error) error {
	if len(line) == 0 {
		return nil
	}
	var event WatchEvent
	if err := decodeAnswer(line, &event); err != nil {
		return errors.Wrap(err, "decode watch event")
	}
	if event.Type == Error {
		return ErrGone
	}
	return handle(event)
}
