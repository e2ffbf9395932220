package retryafter

import (
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
)

// Guards against dates and fractions that are misread.
func TestParse(t *testing.T) {
	now := time.Date(2026, 1, 2, 3, 4, 5, 0, time.UTC)
	cases := []struct {
		text string
		want time.Duration
		ok   bool
	}{
		{"2", 2 * time.Second, true},
		{" 0.05 ", 50 * time.Millisecond, true},
		{"0", 0, true},
		{"-1", -time.Second, true},
		{now.Add(7 * time.Second).Format(http.TimeFormat), 7 * time.Second, true},
		{now.Add(-time.Hour).Format(http.TimeFormat), -time.Hour, true},
		{"NaN", 0, false},
		{"1 s", 0, false},
		{"", 0, false},
	}
	for _, tc := range cases {
		got, ok := parse(tc.text, now)
		assert.Equal(t, tc.ok, ok, tc.text)
		assert.Equal(t, tc.want, got, tc.text)
	}
}

// Guards against a target that keeps requests away for ever, or for a negative time.
func TestParseKeepsTheRange(t *testing.T) {
	now := time.Unix(1, 0)
	for text, want := range map[string]time.Duration{"-1": 0, "1e300": Max, "601": Max, "soon": 0, "NaN": 0} {
		wait, ok := Parse(text, now)
		assert.False(t, ok, text)
		assert.Equal(t, want, wait, text)
	}
	wait, ok := Parse("600", now)
	assert.True(t, ok)
	assert.Equal(t, Max, wait)
}
