package membudget

import (
	"sync"
	"testing"

	"github.com/stretchr/testify/assert"
)

// Guards against a budget that is exceeded, or loses bytes, under concurrent use.
func TestBudget(t *testing.T) {
	b := New(100)
	var users sync.WaitGroup
	for range 20 {
		users.Go(func() {
			for range 1000 {
				if b.Take(30) {
					b.Give(30)
				}
			}
		})
	}
	users.Wait()
	assert.Zero(t, b.Used())
	assert.True(t, b.Take(100))
	assert.False(t, b.Take(1))
	assert.Equal(t, int64(100), b.Used())
	assert.Panics(t, func() { b.Give(101) })
	unlimited := &Budget{}
	assert.True(t, unlimited.Take(1<<40))
}

// Guards against parts that together take more than the whole, and against bytes of
// the whole that are lost when a part rejects a request.
func TestParts(t *testing.T) {
	whole := New(100)
	a, b := whole.Part(80), whole.Part(80)
	assert.False(t, a.Take(81))
	assert.True(t, a.Take(80))
	assert.False(t, b.Take(30))
	assert.True(t, b.Take(20))
	assert.Equal(t, int64(100), whole.Used())
	assert.False(t, whole.Part(0).Fits(101))
	a.Give(80)
	b.Give(20)
	assert.Zero(t, whole.Used())
}
