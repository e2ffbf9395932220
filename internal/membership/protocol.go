package membership

import (
	"slices"
	"time"
)

// sampleTries is the number of random draws per requested member before sample
// falls back to a scan.
const sampleTries = 8

type probe struct {
	name     string
	sequence uint64
	started  time.Time
	indirect bool
	acked    bool
}

// relay is a ping sent on behalf of another member.
type relay struct {
	to       string // gossip address of the requesting member
	sequence uint64 // its sequence number
	target   string
	expires  time.Time
}

// Tick advances the protocol and returns packets to send. The driver calls it
// about every 100 ms.
func (t *Table) Tick(now time.Time) []Packet {
	t.mu.Lock()
	defer t.mu.Unlock()
	if !now.Before(t.nextExpiry) {
		t.nextExpiry = now.Add(expiryPeriod)
		t.expire(now)
	}
	out := t.continueProbe(now)
	if !now.Before(t.nextProbe) {
		t.nextProbe = now.Add(ProbePeriod)
		out = append(out, t.endProbe(now)...)
		out = append(out, t.startProbe(now)...)
		out = append(out, t.probeSilentDataCentre(now)...)
	}
	if !now.Before(t.nextReconnect) {
		t.nextReconnect = now.Add(reconnectPeriod)
		out = append(out, t.probeDead()...)
	}
	return out
}

// Receive handles a datagram and returns packets to send. A datagram that is
// malformed or not authenticated is dropped, and an error returned.
func (t *Table) Receive(now time.Time, payload []byte) ([]Packet, error) {
	m, err := open(t.key, payload)
	if err != nil {
		return nil, err
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	if m.From.Name == t.self.Name {
		t.refute(m.From)
		return nil, nil
	}
	t.observeSender(m.From, now)
	for _, u := range m.Updates {
		t.merge(u, now)
	}
	t.recordVersion(m.Highest)
	return t.handle(m, now), nil
}

// observeSender merges the record that a member sent about itself and notes
// the time of contact.
func (t *Table) observeSender(from Member, now time.Time) {
	t.merge(from, now)
	r := t.records[from.Name]
	if r == nil || r.Incarnation != from.Incarnation {
		return
	}
	t.lastContact[from.DataCentre] = now
	r.lastContact = now
	r.Load = from.Load
	t.recordVersion(heldVersion{from.Name, from.Incarnation, from.CatalogVersion})
}

func (t *Table) handle(m message, now time.Time) []Packet {
	switch m.Kind {
	case kindPing:
		if m.Target != t.self.Name {
			return nil
		}
		return t.buildPackets(m.From.GossipAddress, message{Kind: kindAck, Sequence: m.Sequence, Target: t.self.Name}, m.From.Name)
	case kindAck:
		return t.handleAck(m)
	case kindPingRequest:
		return t.handlePingRequest(m, now)
	default:
		return nil
	}
}

func (t *Table) handleAck(m message) []Packet {
	if p := t.probe; p != nil && p.sequence == m.Sequence && p.name == m.Target {
		p.acked = true
		return nil
	}
	r, ok := t.relays[m.Sequence]
	if !ok || r.target != m.From.Name {
		return nil
	}
	delete(t.relays, m.Sequence)
	return t.buildPackets(r.to, message{Kind: kindAck, Sequence: r.sequence, Target: r.target}, "")
}

func (t *Table) handlePingRequest(m message, now time.Time) []Packet {
	target := t.records[m.Target]
	if target == nil {
		return nil
	}
	t.sequence++
	t.relays[t.sequence] = relay{to: m.From.GossipAddress, sequence: m.Sequence, target: m.Target, expires: now.Add(ProbePeriod)}
	return t.buildPackets(target.GossipAddress, message{Kind: kindPing, Sequence: t.sequence, Target: m.Target}, m.Target)
}

func (t *Table) startProbe(now time.Time) []Packet {
	name, ok := t.nextProbeTarget()
	if !ok {
		return nil
	}
	t.sequence++
	t.probe = &probe{name: name, sequence: t.sequence, started: now}
	return t.buildPackets(t.records[name].GossipAddress, message{Kind: kindPing, Sequence: t.sequence, Target: name}, name)
}

func (t *Table) continueProbe(now time.Time) []Packet {
	p := t.probe
	if p == nil || p.acked || p.indirect || now.Sub(p.started) < directTimeout {
		return nil
	}
	p.indirect = true
	var out []Packet
	for _, helper := range t.sample(indirectProbes, func(r *record) bool { return r.Present() && r.Name != p.name }) {
		out = append(out, t.buildPackets(helper.GossipAddress, message{Kind: kindPingRequest, Sequence: p.sequence, Target: p.name}, helper.Name)...)
	}
	return out
}

// endProbe marks the probed member as suspect if no ack arrived in this period.
func (t *Table) endProbe(now time.Time) []Packet {
	p := t.probe
	t.probe = nil
	if p == nil || p.acked {
		return nil
	}
	r := t.records[p.name]
	if r == nil || (r.State != Alive && r.State != Draining) {
		return nil
	}
	suspect := r.Member
	suspect.State = Suspect
	t.store(suspect, now)
	t.queue.add(suspect)
	return nil
}

// expire declares dead the suspects whose deadline passed, and deletes old
// records and relays.
func (t *Table) expire(now time.Time) {
	for _, name := range slices.Clone(t.names) {
		r := t.records[name]
		switch {
		case r.State == Suspect && !now.Before(r.suspicionDeadline):
			dead := r.Member
			dead.State = Dead
			t.store(dead, now)
			t.queue.add(dead)
		case !r.Present() && now.Sub(r.stateSince) > retention:
			delete(t.records, name)
			t.names = slices.DeleteFunc(t.names, func(n string) bool { return n == name })
			t.epoch++
		}
	}
	for sequence, r := range t.relays {
		if now.After(r.expires) {
			delete(t.relays, sequence)
		}
	}
}

// probeSilentDataCentre pings a member of a data centre without contact within
// dataCentreSilence, since the freshness of the catalog copy depends on the data
// centres in contact within 10 s.
func (t *Table) probeSilentDataCentre(now time.Time) []Packet {
	if t.allDataCentresInContact(now) {
		return nil
	}
	for _, r := range t.sample(1, func(r *record) bool {
		return r.Present() && now.Sub(t.lastContact[r.DataCentre]) > dataCentreSilence
	}) {
		t.sequence++
		return t.buildPackets(r.GossipAddress, message{Kind: kindPing, Sequence: t.sequence, Target: r.Name}, r.Name)
	}
	return nil
}

// allDataCentresInContact reports whether each data centre was in contact within
// dataCentreSilence.
func (t *Table) allDataCentresInContact(now time.Time) bool {
	if t.dataCentresEpoch != t.epoch {
		t.dataCentresEpoch = t.epoch
		t.dataCentres = map[string]bool{}
		for _, r := range t.records {
			if r.Present() {
				t.dataCentres[r.DataCentre] = true
			}
		}
	}
	for centre := range t.dataCentres {
		if now.Sub(t.lastContact[centre]) > dataCentreSilence {
			return false
		}
	}
	return true
}

func (t *Table) probeDead() []Packet {
	for _, r := range t.sample(1, func(r *record) bool { return r.State == Dead }) {
		t.sequence++
		return t.buildPackets(r.GossipAddress, message{Kind: kindPing, Sequence: t.sequence, Target: r.Name}, r.Name)
	}
	return nil
}

// announceSelf sends this member's record to several random members at once.
func (t *Table) announceSelf() []Packet {
	var out []Packet
	for _, r := range t.sample(announceFanout, func(r *record) bool { return r.Present() }) {
		out = append(out, t.buildPackets(r.GossipAddress, message{Kind: kindUpdates}, r.Name)...)
	}
	return out
}

// buildPackets completes a message with this member's record and updates. The
// receiver's own record comes first if it is suspect or dead, so that the
// receiver can refute it.
func (t *Table) buildPackets(to string, m message, receiver string) []Packet {
	m.From = t.self
	m.Highest = t.currentHighest()
	room := MaxPacket - macBytes - encodedReserve - encodedSize(m)
	if r := t.records[receiver]; r != nil && (r.State == Suspect || r.State == Dead) {
		m.Updates = append(m.Updates, r.Member)
		room -= encodedSize(r.Member)
	}
	m.Updates = append(m.Updates, t.queue.take(room, maxUpdates-len(m.Updates), len(t.records)+1)...)
	payload, err := seal(t.key, m)
	if err != nil {
		panic("membership: message cannot be encoded: " + err.Error())
	}
	return []Packet{{To: to, Payload: payload}}
}

// sample returns up to n distinct random members that match.
func (t *Table) sample(n int, match func(*record) bool) []*record {
	var chosen []*record
	if len(t.names) == 0 {
		return nil
	}
	// Random draws find a few members of a large table without a scan.
	for range sampleTries * n {
		r := t.records[t.names[t.rng.IntN(len(t.names))]]
		if match(r) && !slices.Contains(chosen, r) {
			chosen = append(chosen, r)
		}
		if len(chosen) == n {
			return chosen
		}
	}
	offset := t.rng.IntN(len(t.names))
	for i := range t.names {
		r := t.records[t.names[(offset+i)%len(t.names)]]
		if match(r) && !slices.Contains(chosen, r) {
			chosen = append(chosen, r)
		}
		if len(chosen) == n {
			break
		}
	}
	return chosen
}

// nextProbeTarget returns the name of the next member to probe. All members are
// probed once in random order before any is probed again, which bounds the
// detection time.
func (t *Table) nextProbeTarget() (string, bool) {
	for range 2 {
		for len(t.probeOrder) > 0 {
			name := t.probeOrder[0]
			t.probeOrder = t.probeOrder[1:]
			if r := t.records[name]; r != nil && r.Present() {
				return name, true
			}
		}
		t.probeOrder = slices.DeleteFunc(slices.Clone(t.names), func(name string) bool { return !t.records[name].Present() })
		t.rng.Shuffle(len(t.probeOrder), func(i, j int) { t.probeOrder[i], t.probeOrder[j] = t.probeOrder[j], t.probeOrder[i] })
	}
	return "", false
}

func (t *Table) insertIntoProbeOrder(name string) {
	at := t.rng.IntN(len(t.probeOrder) + 1)
	t.probeOrder = slices.Insert(t.probeOrder, at, name)
}
