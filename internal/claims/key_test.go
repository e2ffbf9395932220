package claims

import (
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// Guards against keys of another form that are accepted, and against keys that
// differ only in upper and lower case but are taken for different keys.
func FuzzParseKey(f *testing.F) {
	f.Add("01890a5d-ac96-774b-bcce-b302099a8057")
	f.Add("1b4e28ba-2fa1-41d2-883f-0016d3cca427")
	f.Add("{01890a5d-ac96-774b-bcce-b302099a8057")
	f.Add("urn:uuid:01890a5d-ac96-774b-bcce-b302")
	f.Add("")
	f.Fuzz(func(t *testing.T, text string) {
		key, err := ParseKey(text)
		if err != nil {
			return
		}
		assert.Equal(t, strings.ToLower(text), key.String())
		again, err := ParseKey(strings.ToUpper(text))
		require.NoError(t, err)
		assert.Equal(t, key, again)
		assert.Equal(t, byte('7'), text[14])
		assert.GreaterOrEqual(t, key.CreatedMS(), int64(0))
	})
}

// Guards against keys that are refused, or accepted, on the wrong side of the
// retention time and the clock error.
func TestKeyState(t *testing.T) {
	limits := DefaultLimits()
	now := time.UnixMilli(1_800_000_000_000)
	cases := []struct {
		desc string
		age  time.Duration
		want State
	}{
		{"new", 0, ""},
		{"at the end of the retention and the clock error", time.Hour + 30*time.Second, ""},
		{"older", time.Hour + 30*time.Second + time.Millisecond, Expired},
		{"as far in the future as clocks may differ", -30 * time.Second, ""},
		{"further in the future", -30*time.Second - time.Millisecond, TooNew},
	}
	for _, tc := range cases {
		t.Run(tc.desc, func(t *testing.T) {
			key := NewKey(now.Add(-tc.age), [10]byte{})
			assert.Equal(t, now.Add(-tc.age).UnixMilli(), key.CreatedMS())
			assert.Equal(t, tc.want, limits.KeyState(key, now))
		})
	}
}
