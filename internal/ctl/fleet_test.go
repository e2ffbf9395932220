package ctl

import (
	"encoding/json"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/sequoialane/sequoialane/internal/membership"
)

func TestListReadsBothForms(t *testing.T) {
	for _, raw := range []string{`[{"name":"e1"}]`, ` {"epoch":3,"members":[{"name":"e1"}]}`} {
		var answer list[membership.Member]
		require.NoError(t, json.Unmarshal([]byte(raw), &answer))
		require.Len(t, answer.items, 1)
		assert.Equal(t, "e1", answer.items[0].Name)
	}
}

func FuzzList(f *testing.F) {
	f.Add([]byte(`[{"service":"s","targets":[{}]}]`))
	f.Add([]byte(`{"services":[{"service":"s"}]}`))
	f.Fuzz(func(t *testing.T, raw []byte) {
		var answer list[UpstreamService]
		if json.Unmarshal(raw, &answer) == nil {
			_, _ = UpstreamTable(answer.items)
		}
	})
}
