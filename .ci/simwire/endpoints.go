package main

import (
	"container/heap"
	"encoding/binary"
)

// answer plays the endpoints, the clock and discovery for the actions of one reply.
func (s *script) answer(actions []action) {
	instance := uint32(0)
	for _, a := range actions {
		switch a.code {
		case codeAs:
			instance = binary.BigEndian.Uint32(a.fields)
		case codeDeliver:
			s.deliver(instance, binary.BigEndian.Uint64(a.fields), binary.BigEndian.Uint32(a.fields[8:]),
				int64(binary.BigEndian.Uint32(a.fields[12:])))
		case codeDecline, codeFail:
			delete(s.requests, openKey{instance, binary.BigEndian.Uint64(a.fields)})
		case codeRevoke:
			s.revoke(instance, binary.BigEndian.Uint64(a.fields), int(binary.BigEndian.Uint16(a.fields[8:])))
		case codeArm:
			delay := int64(binary.BigEndian.Uint32(a.fields))
			token := binary.BigEndian.Uint32(a.fields[4:])
			s.add(delay, instance, s.incarnations[instance], nil, rec(codeTimeoutFired, token))
		case codeSoundOut:
			s.probe(instance, binary.BigEndian.Uint32(a.fields))
		case codeListAll:
			s.list(5*millisecond, instance, 4)
		}
	}
}

func (s *script) endpoint(id uint32) *endpoint { return s.endpoints[int(id-firstEndpoint)] }

func (s *script) report(e *endpoint) []float32 {
	busy := float32(e.held)
	return []float32{busy, max(0, busy-4), min(1, busy/4), 12 + 3*busy, e.served, e.failed}
}

// fault is the present fault of an endpoint: none, errors, slowness, silence, rejections, no connection.
func (s *script) fault(e *endpoint) int {
	if e.state == 3 {
		return 5
	}
	if t := s.now - startTime; s.seed%3 == 0 && t > 5*second && t < 9*second {
		return 1
	}
	phase := (s.now - startTime) / (4 * second)
	if int64(e.id+uint32(s.seed))%5 == phase%5 {
		return int(phase+int64(e.id)) % 6
	}
	return 0
}

func (s *script) deliver(instance uint32, id uint64, endpointID uint32, timeout int64) {
	e := s.endpoint(endpointID)
	r := s.requests[openKey{instance, id}]
	if r == nil {
		r = &request{}
	}
	sent := &attempt{endpoint: endpointID, started: s.now}
	number := uint16(len(r.attempts))
	r.attempts = append(r.attempts, sent)
	e.held++
	service := int64((4 + 20*s.rand.ExpFloat64()) * (1 + float64(e.held)/4) * millisecond)
	status := uint16(200)
	switch s.fault(e) {
	case 1:
		if s.rand.IntN(10) < 8 {
			status = 500
			service = 3 * millisecond
		}
	case 2:
		service *= 8
	case 3:
		service = 60 * second
	case 4:
		if s.rand.IntN(2) == 0 {
			status = 503
			service = millisecond
		}
	case 5:
		status = []uint16{502, 598, 410}[s.rand.IntN(3)]
		service = 2 * millisecond
	}
	incarnation := s.incarnations[instance]
	if timeout > 0 && service > timeout {
		service = timeout
		status = 504
	}
	if classes[r.class].stream && status == 200 {
		s.add(service/2, instance, incarnation, nil, rec(codeHeaders, id, number, endpointID, uint32(service/2)))
	}
	s.outcome(service, instance, incarnation, id, number, sent, status)
}

// outcome has an attempt end after delay, unless it has ended by then.
func (s *script) outcome(
	delay int64, instance uint32, incarnation int, id uint64, number uint16, sent *attempt, status uint16,
) {
	// What the record says is decided when it is due: the step before it writes it into the queue.
	s.order++
	e := &event{at: s.now + delay, order: s.order, instance: instance, incarnation: incarnation}
	e.afterwards = func() { s.ended(instance, incarnation, id, number, sent, status) }
	heap.Push(&s.queue, e)
}

func (s *script) ended(
	instance uint32, incarnation int, id uint64, number uint16, sent *attempt, status uint16,
) {
	if sent.over {
		return
	}
	sent.over = true
	e := s.endpoint(sent.endpoint)
	e.held--
	k := openKey{instance, id}
	final := uint8(0)
	if r := s.requests[k]; r != nil && status == 200 && !r.over {
		final = 1
		r.over = true
		delete(s.requests, k)
	}
	if status == 200 {
		e.served = 0.9*e.served + 1
	} else {
		e.failed = 0.9*e.failed + 1
	}
	report := s.report(e)
	if s.seed%2 == 0 || status != 200 {
		report = nil
	}
	latency := uint32(s.now - sent.started)
	s.add(0, instance, incarnation, nil,
		rec(codeAnswer, id, number, sent.endpoint, status, latency, final, uint8(len(report)), report))
}

func (s *script) revoke(instance uint32, id uint64, number int) {
	r := s.requests[openKey{instance, id}]
	if r == nil || number >= len(r.attempts) || r.attempts[number].over {
		return
	}
	s.outcome(millisecond, instance, s.incarnations[instance], id, uint16(number), r.attempts[number], 499)
}

func (s *script) probe(instance uint32, endpointID uint32) {
	e := s.endpoint(endpointID)
	incarnation := s.incarnations[instance]
	switch s.fault(e) {
	case 3:
		s.add(200*millisecond, instance, incarnation, nil,
			rec(codeHealthResult, endpointID, uint16(504), uint32(200*millisecond), uint8(0)))
	case 5:
		s.add(millisecond, instance, incarnation, nil,
			rec(codeHealthResult, endpointID, uint16(502), uint32(millisecond), uint8(0)))
	default:
		took := 2*millisecond + int64(s.rand.IntN(3*millisecond))
		report := s.report(e)
		s.add(took, instance, incarnation, nil,
			rec(codeHealthResult, endpointID, uint16(200), uint32(took), uint8(len(report)), report))
	}
}
