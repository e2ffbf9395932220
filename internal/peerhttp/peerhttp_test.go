package peerhttp

import (
	"context"
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/sequoialane/sequoialane/internal/traffic"
)

type ping struct {
	Text string        `json:"text" cbor:"1,keyasint"`
	Wait time.Duration `json:"wait" cbor:"2,keyasint"`
}

func serve(t *testing.T, h http.HandlerFunc) string {
	t.Helper()
	server := httptest.NewServer(h)
	t.Cleanup(server.Close)
	return server.Listener.Addr().String()
}

func echo(w http.ResponseWriter, r *http.Request) {
	var p ping
	if call, ok := Decode(w, r, &p); ok {
		call.Respond(p)
	}
}

func TestPost(t *testing.T) {
	sent := ping{Text: "x", Wait: 3 * time.Second}
	var got ping
	require.NoError(t, New(nil).Post(context.Background(), traffic.Grant, serve(t, echo), "/", sent, &got))
	assert.Equal(t, sent, got)
	address := serve(t, func(w http.ResponseWriter, r *http.Request) {
		var p ping
		if call, ok := Decode(w, r, &p); ok {
			call.RespondEmpty()
		}
	})
	require.NoError(t, New(nil).Post(context.Background(), traffic.Grant, address, "/", sent, nil))
}

// Guards against releases that cannot call each other during a rolling upgrade:
// one that speaks only JSON, as caller and as peer.
func TestPeersOfEarlierReleases(t *testing.T) {
	sent := ping{Text: "x", Wait: 3 * time.Second}
	jsonOnly := serve(t, func(w http.ResponseWriter, r *http.Request) {
		var p ping
		if err := json.NewDecoder(r.Body).Decode(&p); err != nil {
			http.Error(w, err.Error(), http.StatusBadRequest)
			return
		}
		WriteJSON(w, p)
	})
	var got ping
	require.NoError(t, New(nil).Post(context.Background(), traffic.Grant, jsonOnly, "/", sent, &got))
	assert.Equal(t, sent, got)

	response, err := http.Post("http://"+serve(t, echo), "application/json", strings.NewReader(`{"text":"x","wait":3000000000}`))
	require.NoError(t, err)
	defer response.Body.Close()
	got = ping{}
	require.NoError(t, json.NewDecoder(response.Body).Decode(&got))
	assert.Equal(t, sent, got)
}

// Guards against a malformed body that is taken for a call, or that ends the
// process.
func FuzzDecode(f *testing.F) {
	f.Add([]byte(`{"text":"x"}`))
	f.Add([]byte{0xa1, 0x01, 0x61, 'x'})
	f.Add([]byte{0xbf, 0xff})
	f.Add([]byte{0xa1, 0x01, 0x9b, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff}) // an array of 2^64-1 elements
	f.Add([]byte{})
	f.Fuzz(func(t *testing.T, body []byte) {
		w := httptest.NewRecorder()
		var p ping
		if _, ok := Decode(w, httptest.NewRequest(http.MethodPost, "/", strings.NewReader(string(body))), &p); !ok {
			assert.Equal(t, http.StatusBadRequest, w.Code)
		}
	})
}
