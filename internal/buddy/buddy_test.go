package buddy

import (
	"math/rand/v2"
	"testing"
)

// freeListAllocator is the classical allocator: lists of free blocks by order, split
// on allocation and merged with their buddies on release.
type freeListAllocator struct {
	n    int
	free map[int]map[int]bool // order -> starts
}

func newFreeListAllocator(n int) *freeListAllocator {
	m := &freeListAllocator{n: n, free: map[int]map[int]bool{}}
	for i := range n {
		m.release(i)
	}
	return m
}

func (m *freeListAllocator) release(start int) {
	k := 0
	for {
		buddy := start ^ 1<<k
		if m.free[k][buddy] {
			delete(m.free[k], buddy)
			start &^= 1 << k
			k++
			continue
		}
		if m.free[k] == nil {
			m.free[k] = map[int]bool{}
		}
		m.free[k][start] = true
		return
	}
}

// allocateSlot removes one slot, splitting the block that holds it.
func (m *freeListAllocator) allocateSlot(slot int) bool {
	for k, starts := range m.free {
		for start := range starts {
			if slot < start || slot >= start+1<<k {
				continue
			}
			delete(starts, start)
			for i := start; i < start+1<<k; i++ {
				if i != slot {
					m.release(i)
				}
			}
			return true
		}
	}
	return false
}

// smallestFreeOrder is the order of the smallest free block of at least order k, or -1.
func (m *freeListAllocator) smallestFreeOrder(k int) int {
	for ; k < 16; k++ {
		if len(m.free[k]) > 0 {
			return k
		}
	}
	return -1
}

func (m *freeListAllocator) freeBlocks(k int) int {
	n := 0
	for o, starts := range m.free {
		if o >= k {
			n += len(starts) << (o - k)
		}
	}
	return n
}

// TestMapMatchesFreeListAllocator compares the slot map with the classical allocator.
func TestMapMatchesFreeListAllocator(t *testing.T) {
	rng := rand.New(rand.NewPCG(1, 2))
	for range 300 {
		n := 1 + rng.IntN(20)
		b, m := New(n), newFreeListAllocator(n)
		var held [][]int
		for range 60 {
			if len(held) > 0 && rng.IntN(2) == 0 {
				i := rng.IntN(len(held))
				b.Release(held[i])
				for _, s := range held[i] {
					m.release(s)
				}
				held = append(held[:i], held[i+1:]...)
			} else {
				size := 1 + rng.IntN(5)
				k := Order(size)
				from := m.smallestFreeOrder(k)
				free := b.free
				got := b.Allocate(size)
				if want := min(size, free); len(got) != want {
					t.Fatalf("%d of %d slots for %d with %d free", len(got), n, size, free)
				}
				if from >= 0 {
					// An aligned block: it starts at a multiple of its size and
					// lies in a free block of the smallest order there was.
					if got[0]%(1<<k) != 0 || got[len(got)-1] != got[0]+size-1 {
						t.Fatalf("%v is not an aligned block of order %d", got, k)
					}
					if !m.free[from][got[0]>>from<<from] {
						t.Fatalf("%v is not from a free block of order %d: %v", got, from, m.free)
					}
				}
				for _, s := range got {
					if !m.allocateSlot(s) {
						t.Fatalf("slot %d was not free", s)
					}
				}
				held = append(held, got)
			}
			for k := range 5 {
				if b.FreeBlocks(k) != m.freeBlocks(k) {
					t.Fatalf("%d slots, order %d: %d blocks, the model has %d", n, k, b.FreeBlocks(k), m.freeBlocks(k))
				}
			}
		}
	}
}
