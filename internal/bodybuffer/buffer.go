// Package bodybuffer reads the bodies of requests into memory, within the memory
// that a process has for them.
package bodybuffer

import (
	"context"
	"errors"
	"io"
	"math"

	"github.com/sequoialane/sequoialane/internal/callerconn"
	"github.com/sequoialane/sequoialane/internal/membudget"
)

// Sizes of the buffer of a body, in bytes.
const (
	// firstBuffer is allocated at most before any byte has arrived.
	firstBuffer = 64 << 10
	minBuffer   = 512
	// endOfBody is the room that the last read needs, which returns the end.
	endOfBody = 1
)

var (
	// ErrTooLarge reports a body that is over its limit or, with the values that are
	// decoded from it, over the memory for bodies.
	ErrTooLarge = errors.New("the body is over the limit")
	// ErrNoMemory reports that there is too little memory for the body at the moment.
	ErrNoMemory = errors.New("too many bodies are held")
)

// Buffer is a request body in memory, within the memory for bodies. The nil buffer
// is empty.
type Buffer struct {
	ctx    context.Context // of the request, whose connection holds the memory
	memory *membudget.Budget
	bytes  []byte
	taken  int64 // from memory
}

// Bytes returns the body.
func (b *Buffer) Bytes() []byte {
	if b == nil {
		return nil
	}
	return b.bytes
}

// Release gives back the memory of the body. A further call has no effect.
func (b *Buffer) Release() {
	if b == nil || b.taken == 0 {
		return
	}
	callerconn.GiveBody(b.ctx, b.memory, b.taken)
	b.taken = 0
}

// takeUpTo takes memory until total bytes are taken. It reports false if there is
// too little.
func (b *Buffer) takeUpTo(total int) bool {
	missing := int64(total) - b.taken
	if missing <= 0 {
		return true
	}
	if !callerconn.TakeBody(b.ctx, b.memory, missing) {
		return false
	}
	b.taken += missing
	return true
}

// Read reads the body of the request with the context to its end. declared is its
// length; negative: unknown. limit is its largest length; 0: none. It takes the
// bytes from memory as they arrive, and all of the buffer once that is over
// firstBuffer: bodies that only fit one after the other would otherwise all be
// rejected halfway. Without memory it is that of the guard of the connection.
func Read(ctx context.Context, memory *membudget.Budget, src io.Reader, declared, limit int64) (*Buffer, error) {
	if limit <= 0 {
		limit = math.MaxInt64
	}
	if declared > limit {
		return nil, ErrTooLarge
	}
	if memory == nil {
		memory = callerconn.BodyMemory(ctx)
	}
	if !memory.Fits(declared) {
		return nil, ErrNoMemory
	}
	b := &Buffer{ctx: ctx, memory: memory}
	if err := b.fill(src, declared, limit); err != nil {
		b.Release()
		return nil, err
	}
	return b, nil
}

func (b *Buffer) fill(src io.Reader, declared, limit int64) error {
	b.bytes = make([]byte, 0, min(max(int(declared)+endOfBody, minBuffer), firstBuffer))
	for {
		if len(b.bytes) == cap(b.bytes) && !b.grow(declared) {
			return ErrNoMemory
		}
		n, err := src.Read(b.bytes[len(b.bytes):cap(b.bytes)])
		b.bytes = b.bytes[:len(b.bytes)+n]
		switch {
		case int64(len(b.bytes)) > limit:
			return ErrTooLarge
		case !b.takeUpTo(len(b.bytes)):
			return ErrNoMemory
		case errors.Is(err, io.EOF):
			return nil
		case err != nil:
			return err
		}
	}
}

// grow replaces the full buffer: by one for the declared length, or by one twice as
// large. It reports false if there is too little memory.
func (b *Buffer) grow(declared int64) bool {
	size := 2 * cap(b.bytes)
	if declared > int64(len(b.bytes)) {
		size = int(declared) + endOfBody
	}
	if !b.takeUpTo(size - endOfBody) {
		return false
	}
	larger := allocate(size)
	b.bytes = larger[:copy(larger, b.bytes)]
	return true
}
