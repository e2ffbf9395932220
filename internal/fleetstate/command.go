package fleetstate

import (
	"encoding/json"
	"fmt"

	"github.com/sequoialane/sequoialane/internal/routing"
)

// Command is a change of the state. Every field that is set is applied.
type Command struct {
	Document *routing.Document `json:"document,omitempty"`
	Text     []byte            `json:"text,omitempty"` // Document as the operator sent it
	Targets  []Target          `json:"targets,omitempty"`
	Entries  []Entry           `json:"entries,omitempty"`
	Members  []Member          `json:"members,omitempty"`
	// RemovedMembers are the peer addresses of control members whose slot was
	// removed from the consensus group.
	RemovedMembers []string `json:"departed,omitempty"`
}

// Result is the result of a command.
type Result struct {
	Version uint64 `json:"version"` // version of the routing document after the command
}

// Encode returns the log encoding of the command.
func (c Command) Encode() []byte {
	encoded, err := json.Marshal(c)
	if err != nil {
		panic("fleetstate: command cannot be encoded: " + err.Error())
	}
	return encoded
}

// DecodeResult decodes what StateMachine.Apply returned.
func DecodeResult(raw []byte) (Result, error) {
	var r Result
	if err := json.Unmarshal(raw, &r); err != nil {
		return r, fmt.Errorf("fleetstate: result cannot be read: %w", err)
	}
	return r, nil
}
