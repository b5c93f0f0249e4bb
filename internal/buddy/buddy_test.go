package buddy

import (
	"math/rand/v2"
	"testing"
)

// freeListAllocator is the classical buddy allocator. It keeps a list of free blocks for
// each order, splits blocks on allocation and merges them with their buddies on release.
type freeListAllocator struct {
	n    int
	free map[int]map[int]bool // order -> first slots of the free blocks
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

// allocateSlot marks one slot as used and splits the block that contains it. It reports
// whether the slot was free.
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

// smallestFreeOrder returns the order of the smallest free block of at least order k, or
// -1 if there is none.
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

// TestMapMatchesFreeListAllocator compares a Map with the classical allocator in random
// sequences of allocations and releases.
func TestMapMatchesFreeListAllocator(t *testing.T) {
	rng := rand.New(rand.NewPCG(1, 2))
	for range 300 {
		n := 1 + rng.IntN(20)
		slots, model := New(n), newFreeListAllocator(n)
		var allocated [][]int
		for range 60 {
			if len(allocated) > 0 && rng.IntN(2) == 0 {
				i := rng.IntN(len(allocated))
				slots.Release(allocated[i])
				for _, s := range allocated[i] {
					model.release(s)
				}
				allocated = append(allocated[:i], allocated[i+1:]...)
			} else {
				size := 1 + rng.IntN(5)
				k := Order(size)
				smallest := model.smallestFreeOrder(k)
				free := slots.free
				got := slots.Allocate(size)
				if want := min(size, free); len(got) != want {
					t.Fatalf("allocated %d slots of a map of %d; %d were requested and %d free", len(got), n, size, free)
				}
				if smallest >= 0 {
					// An aligned block starts at a multiple of its size. It must
					// lie in a free block of the smallest sufficient order.
					if got[0]%(1<<k) != 0 || got[len(got)-1] != got[0]+size-1 {
						t.Fatalf("%v is not in an aligned block of order %d", got, k)
					}
					if !model.free[smallest][got[0]>>smallest<<smallest] {
						t.Fatalf("%v is not in a free block of order %d; the free blocks were %v", got, smallest, model.free)
					}
				}
				for _, s := range got {
					if !model.allocateSlot(s) {
						t.Fatalf("allocated slot %d, which was not free", s)
					}
				}
				allocated = append(allocated, got)
			}
			for k := range 5 {
				if slots.FreeBlocks(k) != model.freeBlocks(k) {
					t.Fatalf("map of %d slots, blocks of order %d: FreeBlocks returns %d, want %d", n, k, slots.FreeBlocks(k), model.freeBlocks(k))
				}
			}
		}
	}
}
