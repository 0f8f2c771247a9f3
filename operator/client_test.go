package operator

import (
	"net/http"
	"net/http/httptest"
	"testing"

	"github.com/cockroachdb/errors"

	"github.com/bramleygw/bramleygw/connection"
	"github.com/bramleygw/bramleygw/standin"
)

func TestClientUsesWholeAnswersOnly(t *testing.T) {
	for _, test := range []struct {
		name, head string
		want       error
	}{
		{"sound", "HTTP/1.1 200 OK\r\n", nil},
		{"status", "HTTP/1.1 000 OK\r\n", connection.ErrMalformedHead},
		{"field name", "HTTP/1.1 200 OK\r\nX-A : b\r\n", connection.ErrMalformedHead},
	} {
		handler := http.HandlerFunc(func(writer http.ResponseWriter, request *http.Request) {
			standin.WriteRaw(writer, test.head+"\r\n"+`{"name":"`+request.URL.Path+`"}`)
		})
		t.Run(test.name, func(t *testing.T) {
			server := httptest.NewServer(handler)
			defer server.Close()
			client, err := NewClient(server.URL+"/prefix/", "key")
			if err != nil {
				t.Fatal(err)
			}
			item, err := client.Get("keys", "a")
			if want := "/prefix" + APIPath + "keys/a"; !errors.Is(err, test.want) || err == nil && item.Name != want {
				t.Errorf("got %+v, %v, want %v and %s", item, err, test.want, want)
			}
		})
	}
}
