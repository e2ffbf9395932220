package fleetstate

import (
	"encoding/json"
	"fmt"

	"github.com/sequoialane/sequoialane/internal/routing"
)

// Command is a change of the state. Each part that is set applies.
type Command struct {
	Document *routing.Document `json:"document,omitempty"`
	Text     []byte            `json:"text,omitempty"` // of Document, as it was sent
	Targets  []Target          `json:"targets,omitempty"`
	Entries  []Entry           `json:"entries,omitempty"`
	Members  []Member          `json:"members,omitempty"`
	// Departed names control members whose slot was removed from the group.
	Departed []string `json:"departed,omitempty"`
}

// Result is what a command came to.
type Result struct {
	Version uint64 `json:"version"` // of the document that is held now
}

// Encode returns the command as it stands in the log.
func (c Command) Encode() []byte {
	encoded, err := json.Marshal(c)
	if err != nil {
		panic("fleetstate: command cannot be encoded: " + err.Error())
	}
	return encoded
}

// DecodeResult reads the result of a command.
func DecodeResult(raw []byte) (Result, error) {
	var r Result
	if err := json.Unmarshal(raw, &r); err != nil {
		return r, fmt.Errorf("fleetstate: result cannot be read: %w", err)
	}
	return r, nil
}
