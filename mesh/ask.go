package mesh

import (
	"context"
	"encoding/binary"
	"math/rand/v2"
	"sync"

	vane "mustardvane.org/vane"
)

// idBytes is the length of the number that connects an answer with its question.
const idBytes = 8

// questions holds the questions of this node that wait for answers.
type questions struct {
	mu      sync.Mutex
	last    uint64 // number of the last question; random at the start, so that answers to an earlier run match none
	waiting map[uint64]chan []byte
}

// newQuestions returns an empty set.
func newQuestions() *questions {
	return &questions{last: rand.Uint64(), waiting: make(map[uint64]chan []byte)}
}

// add registers a question and returns its encoded number.
func (q *questions) add() ([]byte, <-chan []byte) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.last++
	c := make(chan []byte, 1)
	q.waiting[q.last] = c
	return binary.BigEndian.AppendUint64(nil, q.last), c
}

// remove forgets a question.
func (q *questions) remove(id []byte) {
	q.mu.Lock()
	defer q.mu.Unlock()
	delete(q.waiting, binary.BigEndian.Uint64(id))
}

// answer passes an answer on. Answers to unknown questions are dropped, and so are further
// ones to the same question.
func (q *questions) answer(id, b []byte) {
	if len(id) != idBytes {
		return
	}
	q.mu.Lock()
	defer q.mu.Unlock()
	n := binary.BigEndian.Uint64(id)
	if c, ok := q.waiting[n]; ok {
		c <- b
		delete(q.waiting, n)
	}
}

// Ask sends a question to another node and returns its answer. Neither is sent again if it
// is lost, so that ctx must have a time limit. The error is of KindNotFound for an unknown
// node, and of KindUnavailable if there is no answer; the question may have been handled
// then.
func (m *Mesh) Ask(ctx context.Context, node string, question []byte) ([]byte, error) {
	m.mu.Lock()
	p, ok := m.peers[node]
	addr := ""
	if ok {
		addr = p.Mesh
	}
	m.mu.Unlock()
	if !ok {
		return nil, vane.Errorf(vane.KindNotFound, "mesh.ask", "ask another node", "node %s is not known", node)
	}
	id, answer := m.questions.add()
	defer m.questions.remove(id)
	m.sendTo(envelope{Scope: scopeQuestion, Messages: [][]byte{id, question}}, []string{addr})
	select {
	case b := <-answer:
		return b, nil
	case <-ctx.Done():
		return nil, vane.Errorf(vane.KindUnavailable, "mesh.ask", "ask another node", "no answer from node %s", node).WithCause(ctx.Err())
	}
}

// handleQuestion answers a question of another node. Questions from addresses that are not
// those of nodes are ignored.
func (m *Mesh) handleQuestion(e envelope, from string) {
	if len(e.Messages) != 2 || len(e.Messages[0]) != idBytes || m.Answer == nil {
		return
	}
	m.mu.Lock()
	_, ok := m.byAddr[from]
	m.mu.Unlock()
	if !ok {
		return
	}
	if b := m.Answer(m.now(), e.Messages[1]); b != nil {
		m.sendTo(envelope{Scope: scopeAnswer, Messages: [][]byte{e.Messages[0], b}}, []string{from})
	}
}
