package bodybuffer

// Reserve takes n bytes for what a handler makes of the body, such as decoded values,
// from the memory for bodies. They are given back with the body. It fails with
// ErrTooLarge if they do not fit beside the body into the memory at all, and with
// ErrNoMemory if too little is left at the moment.
func (b *Buffer) Reserve(n int64) error {
	if !b.memory.Fits(b.taken + n) {
		return ErrTooLarge
	}
	if !b.takeUpTo(int(b.taken + n)) {
		return ErrNoMemory
	}
	return nil
}
