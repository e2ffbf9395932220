// Package history records the operations of concurrent clients and checks that
// they are linearizable. It is for tests only.
package history

import (
	"fmt"
	"strings"
	"sync"
)

// eventNumber orders the starts and ends of operations.
type eventNumber int64

// Operation is one call of a client. Its effect, if any, takes place atomically
// between its start and its end.
type Operation struct {
	Client string
	Key    string // operations on different keys are independent
	Input  any
	Output any // nil if the outcome is unknown

	start eventNumber
	end   eventNumber // 0: no response, so the effect may come at any later time
}

// Unknown reports whether the outcome is unknown to the client.
func (o *Operation) Unknown() bool { return o.end == 0 }

func (o *Operation) String() string {
	if o.Unknown() {
		return fmt.Sprintf("[%d, ?] %s %s: %+v -> unknown", o.start, o.Client, o.Key, o.Input)
	}
	return fmt.Sprintf("[%d, %d] %s %s: %+v -> %+v", o.start, o.end, o.Client, o.Key, o.Input, o.Output)
}

// Recorder collects operations. It is safe for concurrent use.
type Recorder struct {
	mu         sync.Mutex
	last       eventNumber
	operations []*Operation
}

// Invoke records the start of a call. The client makes the call after Invoke
// returns.
func (r *Recorder) Invoke(client, key string, input any) *Call {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.last++
	operation := &Operation{Client: client, Key: key, Input: input, start: r.last}
	r.operations = append(r.operations, operation)
	return &Call{recorder: r, operation: operation}
}

// Operations returns a copy of the operations recorded so far, ordered by their
// starts. Calls without a response have an unknown outcome.
func (r *Recorder) Operations() []Operation {
	r.mu.Lock()
	defer r.mu.Unlock()
	copied := make([]Operation, 0, len(r.operations))
	for _, operation := range r.operations {
		copied = append(copied, *operation)
	}
	return copied
}

// Call is a recorded call that awaits its response. A call that never gets one
// has an unknown outcome.
type Call struct {
	recorder  *Recorder
	operation *Operation
}

// Complete records the response to the call. It must be called at most once,
// after the response has arrived; a second call panics.
func (c *Call) Complete(output any) {
	c.recorder.mu.Lock()
	defer c.recorder.mu.Unlock()
	if c.operation.end != 0 {
		panic(fmt.Sprintf("history: second response %+v to %v", output, c.operation))
	}
	c.recorder.last++
	c.operation.end = c.recorder.last
	c.operation.Output = output
}

// Discard removes a call that provably had no effect from the history.
func (c *Call) Discard() {
	c.recorder.mu.Lock()
	defer c.recorder.mu.Unlock()
	for i, operation := range c.recorder.operations {
		if operation == c.operation {
			c.recorder.operations = append(c.recorder.operations[:i], c.recorder.operations[i+1:]...)
			return
		}
	}
}

// Violation is the error for a history that is not linearizable.
type Violation struct {
	Key        string
	Operations []Operation // of the key
	Linearized int         // length of the longest linearizable prefix that was found
}

// Error implements error.
func (v *Violation) Error() string {
	var b strings.Builder
	fmt.Fprintf(&b, "history: key %q is not linearizable, at most %d of %d operations can be linearized:", v.Key, v.Linearized, len(v.Operations))
	for i := range v.Operations {
		fmt.Fprintf(&b, "\n  %v", &v.Operations[i])
	}
	return b.String()
}
