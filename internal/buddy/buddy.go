// Package buddy keeps the slots of one machine in blocks whose sizes are powers of two:
// a block of order k has 2^k slots and starts at a multiple of 2^k. Splitting and
// coalescing follow from the map of used slots, so the free set is always a disjoint
// union of aligned blocks.
package buddy

import "math/bits"

// Map is the slot map of one machine.
type Map struct {
	used []bool
	free int
}

// New makes a map of free slots.
func New(slots int) Map { return Map{used: make([]bool, slots), free: slots} }

// Free is the number of free slots.
func (b *Map) Free() int { return b.free }

// Order is the smallest k with 2^k >= n.
func Order(n int) int {
	if n <= 1 {
		return 0
	}
	return bits.Len(uint(n - 1))
}

// blockFree says whether all slots of a block are free.
func (b *Map) blockFree(start, size int) bool {
	if start+size > len(b.used) {
		return false
	}
	for _, u := range b.used[start : start+size] {
		if u {
			return false
		}
	}
	return true
}

// FreeBlocks counts the free aligned blocks of an order.
func (b *Map) FreeBlocks(k int) int {
	count := 0
	for size, start := 1<<k, 0; start+size <= len(b.used); start += size {
		if b.blockFree(start, size) {
			count++
		}
	}
	return count
}

// Allocate takes slots: an aligned block of Order(n) split off the smallest free
// block that has one, or, when there is none, any free slots (the union of
// smaller blocks). It may return fewer than n when the machine has no more:
// slots only guide the placement, the resources bind it.
func (b *Map) Allocate(n int) []int {
	k := Order(n)
	best, bestOrder := -1, 0
	for start := 0; start+1<<k <= len(b.used); start += 1 << k {
		if !b.blockFree(start, 1<<k) {
			continue
		}
		o := k // the order of the maximal free block around start
		for {
			size := 2 << o
			if !b.blockFree(start/size*size, size) {
				break
			}
			o++
		}
		if best < 0 || o < bestOrder {
			best, bestOrder = start, o
		}
	}
	var taken []int
	if best >= 0 {
		for i := best; i < best+n; i++ {
			taken = append(taken, i)
		}
	} else {
		for i := 0; i < len(b.used) && len(taken) < n; i++ {
			if !b.used[i] {
				taken = append(taken, i)
			}
		}
	}
	for _, i := range taken {
		b.used[i] = true
	}
	b.free -= len(taken)
	return taken
}

// Release gives slots back.
func (b *Map) Release(slots []int) {
	for _, i := range slots {
		b.used[i] = false
	}
	b.free += len(slots)
}
