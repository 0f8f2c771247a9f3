package operator

import (
	"encoding/json"
	"net/url"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/valyala/fasthttp"

	"github.com/bramleygw/bramleygw/refusal"
)

// Client calls the administration API.
type Client struct {
	// URL is where a VM serves operators, such as http://192.0.2.1:8081.
	URL string
	Key string

	http fasthttp.Client
}

// NewClient returns a client.
func NewClient(address, key string) (*Client, error) {
	parsed, err := url.Parse(address)
	if err != nil || parsed.Scheme == "" || parsed.Host == "" {
		return nil, errors.Newf("%q is not a URL; write for example http://192.0.2.1:8081", address)
	}
	client := &Client{URL: strings.TrimSuffix(address, "/"), Key: key}
	client.http.MaxIdemponentCallAttempts = 1
	return client, nil
}

// Do makes one call. A nil body sends none; a nil result discards the answer.
// The error of an answer that tells of a failure is a refusal.
func (client *Client) Do(method, path string, body, result any) error {
	request := fasthttp.AcquireRequest()
	defer fasthttp.ReleaseRequest(request)
	response := fasthttp.AcquireResponse()
	defer fasthttp.ReleaseResponse(response)
	request.Header.SetMethod(method)
	request.SetRequestURI(client.URL + APIPath + path)
	request.Header.Set(fasthttp.HeaderAuthorization, "Bearer "+client.Key)
	if body != nil {
		text, err := json.Marshal(body)
		if err != nil {
			return errors.Wrap(err, "encode the call")
		}
		request.Header.SetContentType("application/json")
		request.SetBodyRaw(text)
	}
	if err := client.http.DoDeadline(request, response, time.Now().Add(callTime)); err != nil {
		return errors.Wrap(err, "the VM does not answer; check --operator-url or use another VM")
	}
	if response.StatusCode() >= fasthttp.StatusBadRequest {
		return failure(response)
	}
	if result == nil {
		return nil
	}
	return errors.Wrap(json.Unmarshal(response.Body(), result), "the answer is not readable; check --operator-url")
}

func failure(response *fasthttp.Response) error {
	var body refusal.Body
	if err := json.Unmarshal(response.Body(), &body); err != nil || body.Error.Code == "" {
		return errors.Newf("the VM answered status %d; check --operator-url", response.StatusCode())
	}
	return refusal.New(body.Error.Code, body.Error.Message).WithOutcome(body.Error.Outcome)
}

// Create makes an object of a collection.
func (client *Client) Create(collection, name string, spec any) (Item, error) {
	var item Item
	text, err := json.Marshal(spec)
	if err != nil {
		return item, errors.Wrap(err, "encode spec")
	}
	err = client.Do(fasthttp.MethodPost, collection, change{Name: name, Spec: text}, &item)
	return item, err
}

// Update changes an object that has the version.
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

// IssueKey makes a key for an account.
func (client *Client) IssueKey(name, account string) (Issued, error) {
	var issued Issued
	err := client.Do(fasthttp.MethodPost, "keys", issue{Name: name, Account: account}, &issued)
	return issued, err
}
