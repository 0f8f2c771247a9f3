package objects

import (
	"bufio"
	"context"
	"encoding/json"
	"net/netip"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/valyala/fasthttp"

	"github.com/bramleygw/bramleygw/connection"
)

const (
	callTimeout = time.Second
	// watchSilence is the longest wait for a bookmark on a healthy watch.
	watchSilence = 4 * time.Second
	maxIdle      = 16
	maxLine      = 2 << 20 // bytes; values hold up to a megabyte
)

// Client calls the API. It is safe for concurrent use.
type Client struct {
	address netip.AddrPort

	mu   sync.Mutex // guards idle
	idle []*connection.Client
}

// New returns a client for the API at the address.
func New(address netip.AddrPort) *Client {
	return &Client{address: address}
}

// Close breaks the idle connections.
func (client *Client) Close() {
	client.mu.Lock()
	defer client.mu.Unlock()
	for _, idle := range client.idle {
		idle.Close()
	}
	client.idle = nil
}

func (client *Client) acquire() *connection.Client {
	client.mu.Lock()
	defer client.mu.Unlock()
	for len(client.idle) > 0 {
		last := len(client.idle) - 1
		conn := client.idle[last]
		client.idle = client.idle[:last]
		if !conn.Stale() {
			return conn
		}
		conn.Close()
	}
	return connection.New(client.address, nil)
}

func (client *Client) release(conn *connection.Client) {
	client.mu.Lock()
	defer client.mu.Unlock()
	if len(client.idle) >= maxIdle {
		conn.Close()
		return
	}
	client.idle = append(client.idle, conn)
}

// Get returns one object.
func (client *Client) Get(ctx context.Context, collection Collection, name string) (Object, error) {
	var object Object
	err := client.call(ctx, fasthttp.MethodGet, path(collection, name), nil, &object)
	return object, err
}

// List returns a collection.
func (client *Client) List(ctx context.Context, collection Collection) (List, error) {
	var list List
	err := client.call(ctx, fasthttp.MethodGet, APIPath+string(collection), nil, &list)
	return list, err
}

// Create makes an object; ErrExists when there is one of that name.
func (client *Client) Create(ctx context.Context, collection Collection, name string, spec any) (Object, error) {
	return client.write(ctx, fasthttp.MethodPost, APIPath+string(collection), name, 0, spec)
}

// Update replaces an object that still has the given version; otherwise
// ErrConflict.
func (client *Client) Update(ctx context.Context, collection Collection, name string, version Version, spec any) (Object, error) {
	return client.write(ctx, fasthttp.MethodPut, path(collection, name), name, version, spec)
}

// Delete removes an object that still has the given version; otherwise
// ErrConflict.
func (client *Client) Delete(ctx context.Context, collection Collection, name string, version Version) error {
	target := path(collection, name) + "?resourceVersion=" + version.String()
	return client.call(ctx, fasthttp.MethodDelete, target, nil, nil)
}

func path(collection Collection, name string) string {
	return APIPath + string(collection) + "/" + name
}

func (client *Client) write(ctx context.Context, method, target, name string, version Version, spec any) (Object, error) {
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
	err = client.call(ctx, method, target, body, &object)
	return object, err
}

func (client *Client) call(ctx context.Context, method, target string, body []byte, result any) error {
	conn := client.acquire()
	conn.SetDeadline(callDeadline(ctx))
	stop := context.AfterFunc(ctx, conn.Abort)
	defer stop()
	request := fasthttp.AcquireRequest()
	defer fasthttp.ReleaseRequest(request)
	response := fasthttp.AcquireResponse()
	defer fasthttp.ReleaseResponse(response)
	client.fill(request, method, target, body)
	if err := conn.Do(request, response); err != nil {
		conn.Close()
		return lost(err)
	}
	text, err := bodyOf(response)
	if err != nil {
		conn.Close()
		return lost(err)
	}
	if !stop() {
		conn.Close()
	} else {
		client.release(conn)
	}
	return decode(response.StatusCode(), text, result)
}

func callDeadline(ctx context.Context) time.Time {
	deadline := time.Now().Add(callTimeout)
	if earlier, ok := ctx.Deadline(); ok && earlier.Before(deadline) {
		return earlier
	}
	return deadline
}

func (client *Client) fill(request *fasthttp.Request, method, target string, body []byte) {
	request.Header.SetMethod(method)
	request.SetRequestURI(target)
	request.Header.SetHost(client.address.String())
	if body != nil {
		request.Header.SetContentType("application/json")
		request.SetBodyRaw(body)
	}
}

func bodyOf(response *fasthttp.Response) ([]byte, error) {
	if !response.IsBodyStream() {
		return response.Body(), nil
	}
	defer response.CloseBodyStream()
	return response.BodyUncompressed()
}

func lost(err error) error {
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
		return conflict(text)
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
	return errors.Wrap(json.Unmarshal(text, result), "decode platform answer")
}

// status is the part of the API's Status object that tells conflicts apart.
type status struct {
	Reason string `json:"reason"`
}

func conflict(text []byte) error {
	var body status
	if err := json.Unmarshal(text, &body); err == nil && body.Reason == "AlreadyExists" {
		return ErrExists
	}
	return ErrConflict
}

// Watch calls handle for each change after the version until the context
// ends, the watch breaks or handle fails; it always returns an error. ErrGone
// asks for a new list.
func (client *Client) Watch(ctx context.Context, collection Collection, from Version, handle func(WatchEvent) error) error {
	conn := connection.New(client.address, nil)
	defer conn.Close()
	stop := context.AfterFunc(ctx, conn.Abort)
	defer stop()
	request := fasthttp.AcquireRequest()
	defer fasthttp.ReleaseRequest(request)
	response := fasthttp.AcquireResponse()
	defer fasthttp.ReleaseResponse(response)
	target := APIPath + string(collection) + "?watch=1&allowWatchBookmarks=true&resourceVersion=" + from.String()
	client.fill(request, fasthttp.MethodGet, target, nil)
	conn.SetDeadline(time.Now().Add(watchSilence))
	if err := conn.Do(request, response); err != nil {
		return lost(err)
	}
	if response.StatusCode() != fasthttp.StatusOK {
		return decode(response.StatusCode(), response.Body(), nil)
	}
	lines := bufio.NewScanner(response.BodyStream())
	lines.Buffer(nil, maxLine)
	for lines.Scan() {
		conn.SetDeadline(time.Now().Add(watchSilence))
		if err := handleLine(lines.Bytes(), handle); err != nil {
			return err
		}
	}
	if err := lines.Err(); err != nil {
		return lost(err)
	}
	return errors.Mark(errors.New("watch ended"), ErrUnavailable)
}

func handleLine(line []byte, handle func(WatchEvent) error) error {
	if len(line) == 0 {
		return nil
	}
	var event WatchEvent
	if err := json.Unmarshal(line, &event); err != nil {
		return errors.Wrap(err, "decode watch event")
	}
	if event.Type == Error {
		return ErrGone
	}
	return handle(event)
}
