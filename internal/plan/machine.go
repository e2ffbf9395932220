package plan

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"sync"
)

const machineFormat = 1

// Machine is the state machine that a consensus group feeds: commands are
// encoded Changes, and results are encoded Results. It is safe for concurrent
// use.
type Machine struct {
	mu      sync.Mutex
	catalog *Catalog
	changed chan struct{} // closed when the version rises
}

// NewMachine returns a machine with an empty catalog.
func NewMachine() *Machine {
	return &Machine{catalog: NewCatalog(), changed: make(chan struct{})}
}

// Apply makes the change in the command and returns its encoded Result. The
// result of an unreadable command is Invalid on every member.
func (m *Machine) Apply(_ uint64, command []byte) []byte {
	m.mu.Lock()
	defer m.mu.Unlock()
	var ch Change
	result := Result{Outcome: Invalid, Version: m.catalog.current.version, Detail: "command cannot be read"}
	if err := json.Unmarshal(command, &ch); err == nil {
		result = m.catalog.Apply(ch)
	}
	if result.Outcome == Accepted {
		m.notify()
	}
	encoded, err := json.Marshal(result)
	if err != nil {
		panic("plan: result cannot be encoded: " + err.Error())
	}
	return encoded
}

// Current returns the catalog at the version applied last.
func (m *Machine) Current() *Snapshot {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.catalog.current
}

// DeltaSince returns what changed after the version.
func (m *Machine) DeltaSince(version uint64) Delta {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.catalog.DeltaSince(version)
}

// Result returns the stored result of a change id.
func (m *Machine) Result(id string) (Result, bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.catalog.Result(id)
}

// Changed returns a channel that is closed when the version rises.
func (m *Machine) Changed() <-chan struct{} {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.changed
}

func (m *Machine) notify() {
	close(m.changed)
	m.changed = make(chan struct{})
}

// machineHeader is the first line of an encoded machine.
type machineHeader struct {
	Format  int `json:"format"`
	Results int `json:"results"`
	Steps   int `json:"steps"`
	Homes   int `json:"homes"`
}

// Snapshot encodes the catalog with its stored results, history and the home
// regions of removed plans.
func (m *Machine) Snapshot() ([]byte, error) {
	m.mu.Lock()
	full := m.catalog.current.FullDelta()
	stored := m.catalog.results.ordered()
	steps := append([]step(nil), m.catalog.history.steps...)
	homes := append([]removedHome(nil), m.catalog.homes.order...)
	m.mu.Unlock()

	var buffer bytes.Buffer
	encoder := json.NewEncoder(&buffer)
	header := machineHeader{Format: machineFormat, Results: len(stored), Steps: len(steps), Homes: len(homes)}
	if err := encoder.Encode(header); err != nil {
		return nil, err
	}
	if err := full.Write(&buffer); err != nil {
		return nil, err
	}
	if err := encodeList(encoder, stored); err != nil {
		return nil, err
	}
	if err := encodeList(encoder, steps); err != nil {
		return nil, err
	}
	if err := encodeList(encoder, homes); err != nil {
		return nil, err
	}
	return buffer.Bytes(), nil
}

// Restore replaces the catalog by an encoded one. An empty snapshot stands for
// the empty catalog. The machine is unchanged if it returns an error.
func (m *Machine) Restore(encoded []byte) error {
	if len(encoded) == 0 {
		m.replace(NewCatalog())
		return nil
	}
	catalog, err := decodeCatalog(encoded)
	if err != nil {
		return err
	}
	m.replace(catalog)
	return nil
}

func (m *Machine) replace(catalog *Catalog) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.catalog = catalog
	m.notify()
}

func decodeCatalog(encoded []byte) (*Catalog, error) {
	decoder := json.NewDecoder(bytes.NewReader(encoded))
	var header machineHeader
	if err := decoder.Decode(&header); err != nil {
		return nil, fmt.Errorf("%w: header: %w", ErrEncoding, err)
	}
	if header.Format != machineFormat {
		return nil, fmt.Errorf("%w: format %d", ErrEncoding, header.Format)
	}
	full, err := ReadDelta(decoder)
	if err != nil {
		return nil, err
	}
	c := NewCatalog()
	if c.current, err = Empty().Apply(full); err != nil {
		return nil, err
	}
	if err := c.decodeRest(decoder, header); err != nil {
		return nil, err
	}
	return c, nil
}

func (c *Catalog) decodeRest(decoder *json.Decoder, header machineHeader) error {
	stored, err := decodeList[storedResult](decoder, header.Results)
	if err != nil {
		return err
	}
	for _, s := range stored {
		c.results.add(s)
	}
	steps, err := decodeList[step](decoder, header.Steps)
	if err != nil {
		return err
	}
	for _, s := range steps {
		c.history.add(s)
	}
	homes, err := decodeList[removedHome](decoder, header.Homes)
	if err != nil {
		return err
	}
	for _, h := range homes {
		c.homes.add(h)
	}
	if _, err := decoder.Token(); !errors.Is(err, io.EOF) {
		return fmt.Errorf("%w: data after the end", ErrEncoding)
	}
	return nil
}
