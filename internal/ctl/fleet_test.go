package ctl

import (
	"encoding/json"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/sequoialane/sequoialane/internal/membership"
)

func TestListResponseDecodesArrayAndObject(t *testing.T) {
	for _, raw := range []string{`[{"name":"e1"}]`, ` {"epoch":3,"members":[{"name":"e1"}]}`} {
		var response listResponse[membership.Member]
		require.NoError(t, json.Unmarshal([]byte(raw), &response))
		require.Len(t, response.items, 1)
		assert.Equal(t, "e1", response.items[0].Name)
	}
}

func FuzzListResponse(f *testing.F) {
	f.Add([]byte(`[{"service":"s","targets":[{}]}]`))
	f.Add([]byte(`{"services":[{"service":"s"}]}`))
	f.Fuzz(func(t *testing.T, raw []byte) {
		var response listResponse[UpstreamService]
		if json.Unmarshal(raw, &response) == nil {
			_, _ = UpstreamTable(response.items)
		}
	})
}
