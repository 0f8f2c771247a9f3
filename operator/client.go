package operator

import (
	"context"
	"crypto/tls"
	"encoding/json"
	"net"
	"net/url"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/valyala/fasthttp"

	"github.com/bramleygw/bramleygw/connection"
	"github.com/bramleygw/bramleygw/refusal"
)

// Client calls the administration API.
type Client struct {
	// URL is the address at which a VM serves operators, such as
	// http://192.0.2.1:8081. NewClient sets it; later changes have no effect.
	URL string
	// Key is the operator key.
	Key string

	server *url.URL // URL, parsed
	pool   *connection.Pool
}

// NewClient returns a client for the VM at the address, a URL with scheme and
// host. It does not connect.
func NewClient(address, key string) (*Client, error) {
	address = strings.TrimSuffix(address, "/")
	server, err := url.Parse(address)
	if err != nil || server.Scheme != "http" && server.Scheme != "https" || server.Host == "" {
		return nil, errors.Newf("%q is not a URL with scheme and host; use for example http://192.0.2.1:8081", address)
	}
	client := &Client{URL: address, Key: key, server: server}
	client.pool = connection.NewPoolOver(client.dial)
	return client, nil
}

// dial connects to the VM, by TLS if the scheme is https.
func (client *Client) dial() (net.Conn, error) {
	dialer := &net.Dialer{Timeout: callTimeout}
	isTLS := client.server.Scheme == "https"
	address := fasthttp.AddMissingPort(client.server.Host, isTLS)
	if isTLS {
		return (&tls.Dialer{NetDialer: dialer}).Dial("tcp", address)
	}
	return dialer.Dial("tcp", address)
}

// Do makes one call. If body is nil, the request has no body; if result is nil,
// the response body is discarded. If the VM refuses the call, Do returns a
// *refusal.Refusal.
func (client *Client) Do(method, path string, body, result any) error {
	var text []byte
	if body != nil {
		var err error
		if text, err = json.Marshal(body); err != nil {
			return errors.Wrap(err, "encode the request body")
		}
	}
	status, answer, err := client.pool.Call(context.Background(), time.Now().Add(callTimeout), func(request *fasthttp.Request) {
		request.Header.SetMethod(method)
		request.SetRequestURI(client.server.EscapedPath() + APIPath + path)
		request.Header.SetHost(client.server.Host)
		request.Header.Set(fasthttp.HeaderAuthorization, "Bearer "+client.Key)
		if text != nil {
			request.Header.SetContentType("application/json")
			request.SetBodyRaw(text)
		}
	})
	if err != nil {
		return errors.Wrap(err, "the VM did not respond; check --operator-url or use another VM")
	}
	if status >= fasthttp.StatusBadRequest {
		return responseError(status, answer)
	}
	if result == nil {
		return nil
	}
	return errors.Wrap(json.Unmarshal(answer, result), "cannot decode the response; check --operator-url")
}

func responseError(status int, answer []byte) error {
	var body refusal.Body
	if err := json.Unmarshal(answer, &body); err != nil || body.Error.Code == "" {
		return errors.Newf("the VM responded with status %d; check --operator-url", status)
	}
	return refusal.New(body.Error.Code, body.Error.Message).WithOutcome(body.Error.Outcome)
}

// Create creates an object in a collection.
func (client *Client) Create(collection, name string, spec any) (Item, error) {
	var item Item
	text, err := json.Marshal(spec)
	if err != nil {
		return item, errors.Wrap(err, "encode spec")
	}
	err = client.Do(fasthttp.MethodPost, collection, change{Name: name, Spec: text}, &item)
	return item, err
}

// Update replaces the object's spec if the stored object still has item.Version.
func (client *Client) Update(collection string, item Item) (Item, error) {
	var updated Item
	sent := change(item)
	err := client.Do(fasthttp.MethodPut, collection+"/"+item.Name, sent, &updated)
	return updated, err
}

// Get returns an object.
func (client *Client) Get(collection, name string) (Item, error) {
	var item Item
	err := client.Do(fasthttp.MethodGet, collection+"/"+name, nil, &item)
	return item, err
}

// IssueKey issues an API key for an account.
func (client *Client) IssueKey(name, account string) (IssuedKey, error) {
	var issued IssuedKey
	err := client.Do(fasthttp.MethodPost, "keys", issueRequest{Name: name, Account: account}, &issued)
	return issued, err
}
